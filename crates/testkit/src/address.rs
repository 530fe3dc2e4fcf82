//! Loopback addresses that no other test uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Draws a loopback address that this test process has not used; others use other ranges by their
/// process ids.
pub fn draw_ip() -> IpAddr {
    let process_id = std::process::id();
    let host = NEXT_HOST.fetch_add(1, Ordering::SeqCst);
    assert!(host < u8::MAX, "a test process has 254 addresses");
    let second = 16 + ((process_id >> 8) % 200) as u8;
    IpAddr::V4(Ipv4Addr::new(127, second, (process_id & 0xff) as u8, host))
}

/// An address on a fresh host.
pub fn draw_address(port: u16) -> SocketAddr {
    SocketAddr::new(draw_ip(), port)
}
