//! A write whose response is lost: the claim is confirmed by reading the value back.

use hickorycourse_idempotency::ShardValue;
use hickorycourse_idempotency::prelude::*;

fn main() {
    let mut shard = ClaimShard::new(60_000);
    let attempt = ClaimRequest {
        waiter: 1,
        key: ClaimKey::new("dealers", "orders", "order-1"),
        token: ClaimToken(99),
        request_digest: 5,
        deadline_ms: 3_000,
    };
    println!("{:?}", shard.handle(ClaimEvent::Begin(attempt), 0, 0));
    let empty = ReadOutcome::Value { mod_revision: 0, value: ShardValue::default() };
    let actions = shard.handle(ClaimEvent::ReadDone(empty), 1, 1);
    let Some(ClaimAction::Write { value, .. }) = actions.into_iter().next() else { return };
    println!("write sent; response lost");
    shard.handle(ClaimEvent::WriteDone(WriteOutcome::Uncertain), 2, 2);
    println!("{:?}", shard.handle(ClaimEvent::Tick, 100, 100));
    let found = ReadOutcome::Value { mod_revision: 1, value };
    println!("{:?}", shard.handle(ClaimEvent::ReadDone(found), 101, 101));
}
