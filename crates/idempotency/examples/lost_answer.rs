//! A write whose answer is lost: the claim is settled by reading back.

use hickorycourse_idempotency::ShardValue;
use hickorycourse_idempotency::prelude::*;

fn main() {
    let mut shard = ClaimShard::new(60_000);
    let begin = BeginClaim {
        waiter: 1,
        key: ClaimKey::new("dealers", "orders", "order-1"),
        token: ClaimToken(99),
        request_digest: 5,
        deadline_ms: 3_000,
    };
    println!("{:?}", shard.handle(ClaimEvent::Begin(begin), 0, 0));
    let empty = ReadOutcome::Value { mod_revision: 0, value: ShardValue::default() };
    let actions = shard.handle(ClaimEvent::ReadDone(empty), 1, 1);
    let Some(ClaimAction::Write { value, .. }) = actions.into_iter().next() else { return };
    println!("the write goes out, its answer is lost");
    shard.handle(ClaimEvent::WriteDone(WriteOutcome::Uncertain), 2, 2);
    println!("{:?}", shard.handle(ClaimEvent::Tick, 100, 100));
    let found = ReadOutcome::Value { mod_revision: 1, value };
    println!("{:?}", shard.handle(ClaimEvent::ReadDone(found), 101, 101));
}
