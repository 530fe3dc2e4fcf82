//! Server of the readiness check, the metrics and the operators' requests about quarantined parts.

use std::net::IpAddr;
use std::sync::Arc;

use ntex::SharedCfg;
use ntex::http::{KeepAlive, Method, StatusCode};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};

use crate::caller;
use crate::server::{connection_config, connections_per_thread, http_config, listen};
use crate::state::Relay;

/// Idle timeout of connections: few are enough for the balancer's check.
const KEEP_ALIVE: Seconds = Seconds(5);
const QUARANTINE_PATH: &str = "/quarantine";
const MAX_PART_DIGITS: usize = 16;

/// Starts the server on the ready address, and on the metrics address if there is one.
///
/// # Errors
/// An address can't be bound.
pub fn start_management_server(relay: &Arc<Relay>) -> eyre::Result<Server> {
    let shared = Arc::clone(relay);
    let config = http_config().set_keepalive(KeepAlive::Timeout(KEEP_ALIVE));
    let mut server = HttpServer::new(async move || {
        let relay = Arc::clone(&shared);
        App::new().default_service(web::route().to(move |request: HttpRequest| {
            let relay = Arc::clone(&relay);
            async move { handle_request(&relay, &request) }
        }))
    })
    .workers(1)
    .maxconn(connections_per_thread(&relay.settings))
    .config(SharedCfg::new("management").add(config).add(connection_config()))
    .disable_signals()
    .listen(listen(relay.settings.ready_address)?)?;
    if let Some(address) = relay.settings.metrics_address {
        server = server.listen(listen(address)?)?;
    }
    Ok(server.run())
}

/// Returns whether a connection from `peer` to a listener bound to one of `listeners` comes from the
/// same host.
pub fn is_own_host(peer: IpAddr, listeners: &[IpAddr]) -> bool {
    let peer = peer.to_canonical();
    peer.is_loopback() || listeners.iter().any(|listener| listener.to_canonical() == peer)
}

fn handle_request(relay: &Relay, request: &HttpRequest) -> HttpResponse {
    let path = request.path();
    if let Some(rest) = path.strip_prefix(QUARANTINE_PATH) {
        if rest.is_empty() {
            return list_parts(relay, request);
        }
        if let Some(part) = rest.strip_prefix('/') {
            return change_part(relay, request, part);
        }
    }
    match path {
        "/readyz" => caller::readiness_response(relay),
        "/metrics" => {
            let held_bytes = relay.bodies.held_bytes();
            metrics::gauge!("hickorycourse_body_bytes").set(held_bytes as f64);
            HttpResponse::Ok().body(relay.meter.render())
        }
        _ => HttpResponse::NotFound().finish(),
    }
}

fn list_parts(relay: &Relay, request: &HttpRequest) -> HttpResponse {
    match *request.method() {
        Method::GET => HttpResponse::Ok().json(&relay.quarantine_status()),
        _ => method_not_allowed("GET"),
    }
}

fn change_part(relay: &Relay, request: &HttpRequest, part: &str) -> HttpResponse {
    let is_pin = match *request.method() {
        Method::PUT => true,
        Method::DELETE => false,
        _ => return method_not_allowed("DELETE, PUT"),
    };
    if !is_sent_by_own_host(relay, request) {
        let reason = "changes are only accepted from the instance's own host\n";
        return HttpResponse::Forbidden().body(reason);
    }
    let Some(part) = parse_part(part) else {
        return HttpResponse::BadRequest().body("a part has 1 to 16 hexadecimal digits\n");
    };
    match is_pin {
        true if relay.pin_part(part) => HttpResponse::NoContent().finish(),
        true => HttpResponse::build(StatusCode::INSUFFICIENT_STORAGE)
            .body("too many parts are quarantined\n"),
        false if relay.lift_part(part) => HttpResponse::NoContent().finish(),
        false => HttpResponse::NotFound().body("the part is not quarantined\n"),
    }
}

fn method_not_allowed(allowed: &'static str) -> HttpResponse {
    HttpResponse::MethodNotAllowed().header("allow", allowed).finish()
}

fn is_sent_by_own_host(relay: &Relay, request: &HttpRequest) -> bool {
    let settings = &relay.settings;
    let listeners = [Some(settings.ready_address), settings.metrics_address];
    let listeners: Vec<IpAddr> = listeners.iter().flatten().map(|address| address.ip()).collect();
    request.peer_addr().is_some_and(|peer| is_own_host(peer.ip(), &listeners))
}

fn parse_part(text: &str) -> Option<u64> {
    // `from_str_radix` alone also accepts a sign.
    let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let is_valid = is_hexadecimal && (1..=MAX_PART_DIGITS).contains(&text.len());
    u64::from_str_radix(text, 16).ok().filter(|_| is_valid)
}
