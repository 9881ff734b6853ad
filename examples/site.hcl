# Calls on 8443 to two apps, jobs on 8080 to the boxes that discovery lists. See docs/operate/grpc.md.
name       = "n1"
management = "127.0.0.1:8081"

listener "calls" {
  protocol = "grpc"
  address  = "127.0.0.1:8443"
}

listener "jobs" {
  protocol = "jobs"
  address  = "127.0.0.1:8080"
  pool     = "boxes"
}

pool "boxes" {
  protocol  = "jobs"
  discovery = "127.0.0.1:8500"
}

pool "apps" {
  protocol = "grpc"
  slots    = 50
  instance "app-1" {
    address = "127.0.0.1:9001"
  }
  instance "app-2" {
    address = "127.0.0.1:9002"
  }
}

class "balance-check" {
  effect  = "safe"
  aim     = "500ms"
  give_up = "5s"
  worth   = 2
}

class "card-charge" {
  effect  = "unsafe"
  aim     = "1500ms"
  give_up = "25s"
  worth   = 3
}

route "charges" {
  service = "shop.Charges"
  pool    = "apps"
  class   = "card-charge"
}

route "the rest" {
  prefix = "shop."
  pool   = "apps"
  class  = "balance-check"
}
