//! Loopback addresses that no other test uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

static NEXT_HOST: AtomicU16 = AtomicU16::new(0);

const HOSTS_PER_NET: u16 = 254;
const NETS: u16 = 2;
const PROCESS_NETS: u32 = 100;

/// Draws a loopback address that this test process has not used; others use other ranges by their
/// process ids.
pub fn draw_ip() -> IpAddr {
    let process_id = std::process::id();
    let number = NEXT_HOST.fetch_add(1, Ordering::SeqCst);
    assert!(number < NETS * HOSTS_PER_NET, "a test process has 508 addresses");
    let net = u32::from(number / HOSTS_PER_NET) * PROCESS_NETS;
    let second = 16 + ((process_id >> 8) % PROCESS_NETS + net) as u8;
    let host = (number % HOSTS_PER_NET) as u8 + 1;
    IpAddr::V4(Ipv4Addr::new(127, second, (process_id & 0xff) as u8, host))
}

/// First of the ports that are handed out on this process's own address.
const FIRST_PORT: u16 = 10_000;

/// An address that nobody else listens on: no other process has its host, and outgoing connections
/// come from another one.
pub fn draw_listener() -> SocketAddr {
    static HOST: OnceLock<IpAddr> = OnceLock::new();
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    SocketAddr::new(*HOST.get_or_init(draw_ip), NEXT_PORT.fetch_add(1, Ordering::SeqCst))
}

/// An address on a fresh host.
pub fn draw_address(port: u16) -> SocketAddr {
    SocketAddr::new(draw_ip(), port)
}
