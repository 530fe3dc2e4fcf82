//! Responses that callers have not read yet: their requests stay in flight, and large ones count as held memory.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickorycourse_body::BodyReservation;
use hickorycourse_clock::sleep;
use ntex::io::IoRef;
use serde_json::json;

use crate::in_flight::InFlightGuard;
use crate::state::Relay;

/// Interval at which the write buffer of a connection is checked.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Size of a response from which it may not fit the send buffer of its socket.
const MIN_HELD_BYTES: u64 = 16 * 1024;

/// Requests whose responses wait in the write buffer of one connection.
#[derive(Default)]
struct UnreadRequests {
    requests: Vec<Rc<InFlightGuard>>,
    /// Whether one was added since the last check: the server may not have written its response yet.
    has_new: bool,
}

thread_local! {
    /// Small responses. A caller that sends requests ahead has many of them on one connection.
    static UNREAD: RefCell<HashMap<IoRef, UnreadRequests>> = RefCell::default();
}

/// Keeps a request in flight until its response has been written to the caller's connection: the
/// process may be told to stop meanwhile. `unwritten_bytes` is the size of the response that the server
/// has yet to write to the connection.
pub fn hold_until_flushed(
    relay: &Arc<Relay>,
    in_flight: Rc<InFlightGuard>,
    connection: Option<IoRef>,
    unwritten_bytes: u64,
) {
    let Some(connection) = connection else { return };
    if unwritten_bytes >= MIN_HELD_BYTES {
        let mut reservation = relay.bodies.reserve();
        reservation.grow_beyond(unwritten_bytes as usize);
        ntex::rt::spawn(hold_large(Arc::clone(relay), in_flight, connection, reservation));
    } else if relay.drain.is_stopping() || unflushed_bytes(&connection) > 0 {
        hold_small(in_flight, connection);
    }
}

/// Holds a response until it is flushed. If its memory is needed for others, its connection is closed.
async fn hold_large(
    relay: Arc<Relay>,
    in_flight: Rc<InFlightGuard>,
    connection: IoRef,
    reservation: BodyReservation,
) {
    // The server writes the response to the buffer after its handler has returned.
    sleep(FLUSH_POLL_INTERVAL).await;
    let mut unflushed = unflushed_bytes(&connection);
    while !connection.is_closed() && unflushed > 0 {
        tokio::select! {
            biased;
            () = reservation.wait_until_evicted() => {
                metrics::counter!("hickorycourse_responses_cut_total").increment(1);
                relay.log.write("response_cut", || json!({ "unread_bytes": unflushed }));
                connection.terminate();
                break;
            }
            () = sleep(FLUSH_POLL_INTERVAL) => {}
        }
        let remaining = unflushed_bytes(&connection);
        if remaining < unflushed {
            reservation.record_progress();
        }
        unflushed = remaining;
    }
    drop(in_flight);
}

fn hold_small(in_flight: Rc<InFlightGuard>, connection: IoRef) {
    let is_polled = UNREAD.with_borrow_mut(|unread| {
        let is_polled = unread.contains_key(&connection);
        let waiting = unread.entry(connection.clone()).or_default();
        waiting.requests.push(in_flight);
        waiting.has_new = true;
        is_polled
    });
    if is_polled {
        return;
    }
    ntex::rt::spawn(async move {
        while is_waiting(&connection) {
            sleep(FLUSH_POLL_INTERVAL).await;
        }
        // Dropped after the borrow: the end of a request takes other locks.
        drop(UNREAD.with_borrow_mut(|unread| unread.remove(&connection)));
    });
}

fn is_waiting(connection: &IoRef) -> bool {
    let has_new = UNREAD.with_borrow_mut(|unread| {
        unread.get_mut(connection).is_some_and(|waiting| std::mem::take(&mut waiting.has_new))
    });
    !connection.is_closed() && (has_new || unflushed_bytes(connection) > 0)
}

fn unflushed_bytes(connection: &IoRef) -> usize {
    connection.with_write_dst_buf(|buffer| buffer.len())
}
