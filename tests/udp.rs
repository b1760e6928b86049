//! Choice of the advertised address of a bound socket.

use std::net::SocketAddr;

use cassiacross::udp;
use yare::parameterized;

#[parameterized(
    bound = { "127.0.0.1:80", None, Some("127.0.0.1:80") },
    advertised = { "127.0.0.1:80", Some("192.0.2.1:90"), Some("192.0.2.1:90") },
    advertised_for_ipv6 = { "[::1]:80", Some("192.0.2.1:90"), Some("192.0.2.1:90") },
    ipv6 = { "[::1]:80", None, None },
)]
fn advertised_addr(bound: &str, advertised: Option<&str>, expected: Option<&str>) {
    let bound: SocketAddr = bound.parse().expect("address is valid");
    let advertised = advertised.map(|text| text.parse().expect("address is valid"));
    let chosen = udp::advertised_addr(bound, advertised).ok();
    assert_eq!(chosen.map(|addr| addr.to_string()).as_deref(), expected);
}
