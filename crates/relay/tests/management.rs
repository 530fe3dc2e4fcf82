//! Which hosts may change the state of an instance.

use std::net::IpAddr;

use hickorycourse_relay::is_own_host;

fn address(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

#[test]
fn is_own_host_loopback_or_bound_address() {
    let listeners = [address("10.0.0.7"), address("fd00::7")];
    let own = ["127.0.0.1", "127.9.9.9", "::1", "::ffff:127.0.0.1"];
    let bound = ["10.0.0.7", "::ffff:10.0.0.7", "fd00::7"];
    for peer in own.iter().chain(&bound) {
        assert!(is_own_host(address(peer), &listeners), "{peer}");
    }
    for peer in ["10.0.0.8", "::ffff:10.0.0.8", "fd00::8", "0.0.0.0", "::", "128.0.0.1"] {
        assert!(!is_own_host(address(peer), &listeners), "{peer}");
    }
}

#[test]
fn is_own_host_unspecified_listener_only_loopback() {
    let listeners = [address("0.0.0.0"), address("::")];
    assert!(is_own_host(address("127.0.0.1"), &listeners));
    assert!(!is_own_host(address("10.0.0.7"), &listeners));
}
