//! Promises of the fault proxy.

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use galenahold_testkit::proxy;

/// Time in which held bytes must not arrive.
const SILENCE: time::Duration = time::Duration::from_millis(200);
/// Limit on waits for bytes that do arrive.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(20);

/// A client and its server with a link between them.
struct LinkedPair {
    link: proxy::FaultLink,
    client: net::TcpStream,
    server: net::TcpStream,
    _proxy: proxy::FaultProxy,
}

impl LinkedPair {
    fn connect() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let target = listener.local_addr().expect("an address");
        let proxy = proxy::FaultProxy::start().expect("a proxy");
        let link = proxy.link(target).expect("a link");
        let client = net::TcpStream::connect(link.address()).expect("a connection");
        let (server, _) = listener.accept().expect("a connection");
        Self {
            link,
            client,
            server,
            _proxy: proxy,
        }
    }
}

/// Reads `count` bytes within the limit.
fn read(stream: &mut net::TcpStream, count: usize) -> Vec<u8> {
    stream
        .set_read_timeout(Some(WAIT_LIMIT))
        .expect("a timeout");
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).expect("all bytes");
    bytes
}

/// Tells whether nothing arrives for a while, neither bytes nor an end.
fn is_silent(stream: &mut net::TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE)).expect("a timeout");
    let error = match stream.read(&mut [0; 1]) {
        Ok(_) => return false,
        Err(error) => error.kind(),
    };
    matches!(
        error,
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

/// Reads until the connection ends and tells whether it was reset.
fn ends_in_reset(stream: &mut net::TcpStream) -> bool {
    stream
        .set_read_timeout(Some(WAIT_LIMIT))
        .expect("a timeout");
    let ended = stream.read_to_end(&mut Vec::new());
    ended.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
}

#[test]
fn open_link_passes_bytes_and_ends_both_ways() {
    let mut pair = LinkedPair::connect();
    pair.client.write_all(b"ask").expect("sent");
    assert_eq!(read(&mut pair.server, 3), b"ask");
    pair.client.shutdown(net::Shutdown::Write).expect("closed");
    assert_eq!(pair.server.read(&mut [0; 1]).expect("an end"), 0);
    pair.server.write_all(b"answer").expect("sent");
    assert_eq!(read(&mut pair.client, 6), b"answer");
}

#[test]
fn cut_of_one_direction_holds_its_bytes_until_healed() {
    let mut pair = LinkedPair::connect();
    let direction = proxy::LinkDirection::ToServer;
    pair.link.set(direction, proxy::LinkFault::cut());
    pair.client.write_all(b"held").expect("sent");
    pair.server.write_all(b"passes").expect("sent");
    assert_eq!(read(&mut pair.client, 6), b"passes");
    assert!(is_silent(&mut pair.server));
    pair.link.heal();
    assert_eq!(read(&mut pair.server, 4), b"held");
}

#[test]
fn cut_holds_the_end_of_a_connection_too() {
    let mut pair = LinkedPair::connect();
    pair.link.set_both(proxy::LinkFault::cut());
    drop(pair.client);
    assert!(is_silent(&mut pair.server));
    pair.link.heal();
    assert_eq!(pair.server.read(&mut [0; 1]).expect("an end"), 0);
}

#[test]
fn stall_lets_only_its_bytes_pass() {
    let mut pair = LinkedPair::connect();
    let fault = proxy::LinkFault::pass().stall_after(3);
    pair.link.set(proxy::LinkDirection::ToClient, fault);
    pair.server.write_all(b"answer").expect("sent");
    assert_eq!(read(&mut pair.client, 3), b"ans");
    assert!(is_silent(&mut pair.client));
    pair.link.heal();
    assert_eq!(read(&mut pair.client, 3), b"wer");
}

#[test]
fn reset_after_bytes_ends_both_sides() {
    let mut pair = LinkedPair::connect();
    let fault = proxy::LinkFault::pass().reset_after(2);
    pair.link.set(proxy::LinkDirection::ToServer, fault);
    pair.client.write_all(b"order").expect("sent");
    assert!(ends_in_reset(&mut pair.server));
    assert!(ends_in_reset(&mut pair.client));
    let passed = pair.link.passed_bytes(proxy::LinkDirection::ToServer);
    assert_eq!(passed, 2);
}

#[test]
fn refused_link_takes_no_connection_until_healed() {
    let pair = LinkedPair::connect();
    pair.link.refuse(true);
    let deadline = time::Instant::now() + WAIT_LIMIT;
    while net::TcpStream::connect(pair.link.address()).is_ok() {
        assert!(time::Instant::now() < deadline, "never refused");
        thread::sleep(time::Duration::from_millis(5));
    }
    pair.link.heal();
    while net::TcpStream::connect(pair.link.address()).is_err() {
        assert!(time::Instant::now() < deadline, "never healed");
        thread::sleep(time::Duration::from_millis(5));
    }
}

#[test]
fn delay_is_a_lower_bound_on_the_way() {
    let mut pair = LinkedPair::connect();
    let delay = time::Duration::from_millis(60);
    pair.link.set_both(proxy::LinkFault::pass().delay(delay));
    let start = time::Instant::now();
    pair.client.write_all(b"a").expect("sent");
    read(&mut pair.server, 1);
    pair.server.write_all(b"b").expect("sent");
    read(&mut pair.client, 1);
    assert!(start.elapsed() >= 2 * delay);
}

#[test]
fn bandwidth_is_an_upper_bound_on_bytes() {
    let mut pair = LinkedPair::connect();
    let fault = proxy::LinkFault::pass().bytes_per_second(1_000_000);
    pair.link.set(proxy::LinkDirection::ToServer, fault);
    let start = time::Instant::now();
    let bytes = vec![7; 200_000];
    pair.client.write_all(&bytes).expect("sent");
    assert_eq!(read(&mut pair.server, bytes.len()), bytes);
    // The last piece is not followed by a pause.
    assert!(start.elapsed() >= time::Duration::from_millis(150));
}

#[test]
fn process_is_cut_off_at_an_address_that_others_use_too() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let target = listener.local_addr().expect("an address");
    let proxy = proxy::FaultProxy::start().expect("a proxy");
    let shared = proxy.link(target).expect("a link");
    let own = proxy.link(target).expect("a link");
    // No process has the id 0.
    shared.attribute(0, &own);
    net::TcpStream::connect(shared.address()).expect("a connection");
    listener.accept().expect("a connection that others make");
    assert_eq!((shared.connections(), own.connections()), (1, 0));
    shared.attribute(std::process::id(), &own);
    own.set_both(proxy::LinkFault::cut());
    let mut client = net::TcpStream::connect(shared.address()).expect("a connection");
    client.write_all(b"held").expect("sent");
    let deadline = time::Instant::now() + WAIT_LIMIT;
    while own.connections() == 0 {
        assert!(time::Instant::now() < deadline, "never attributed");
        thread::sleep(time::Duration::from_millis(5));
    }
    listener.set_nonblocking(true).expect("a listener");
    thread::sleep(SILENCE);
    assert!(listener.accept().is_err(), "the cut let a connection pass");
    listener.set_nonblocking(false).expect("a listener");
    own.heal();
    let (mut server, _) = listener.accept().expect("a connection");
    assert_eq!(read(&mut server, 4), b"held");
    assert_eq!((shared.connections(), own.connections()), (1, 1));
}
