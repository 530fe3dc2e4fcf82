//! Allocation of loopback addresses that no other test process uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

static NEXT_HOST_NUMBER: AtomicU16 = AtomicU16::new(0);

const HOSTS_PER_SUBNET: u16 = 254;
const SUBNETS_PER_PROCESS: u16 = 2;
const PROCESS_SUBNETS: u32 = 100;

/// Returns a loopback address that this test process has not used yet. The process id selects the
/// subnets, so that concurrent test processes use different ranges.
///
/// # Panics
/// If the process has used all its 508 addresses.
pub fn allocate_ip() -> IpAddr {
    let process_id = std::process::id();
    let number = NEXT_HOST_NUMBER.fetch_add(1, Ordering::SeqCst);
    assert!(
        number < SUBNETS_PER_PROCESS * HOSTS_PER_SUBNET,
        "loopback addresses exhausted: a test process can allocate 508"
    );
    let subnet = u32::from(number / HOSTS_PER_SUBNET) * PROCESS_SUBNETS;
    let second_octet = 16 + ((process_id >> 8) % PROCESS_SUBNETS + subnet) as u8;
    let host = (number % HOSTS_PER_SUBNET) as u8 + 1;
    IpAddr::V4(Ipv4Addr::new(127, second_octet, (process_id & 0xff) as u8, host))
}

/// The first port that [`allocate_listen_address`] returns.
const FIRST_PORT: u16 = 10_000;

/// Returns an address for a listener that cannot collide with another one: no other process uses
/// its host, and outgoing connections use another source address, so that their ephemeral ports
/// cannot conflict with it.
pub fn allocate_listen_address() -> SocketAddr {
    static HOST: OnceLock<IpAddr> = OnceLock::new();
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    SocketAddr::new(*HOST.get_or_init(allocate_ip), NEXT_PORT.fetch_add(1, Ordering::SeqCst))
}

/// Returns an address with the given port on a newly allocated host.
pub fn allocate_address(port: u16) -> SocketAddr {
    SocketAddr::new(allocate_ip(), port)
}
