//! A small organisation beside a large one: who goes next with fair shares, and without.

use hickorycourse_admission::prelude::*;

fn main() {
    let supply = Supply { slots: 1, free_slots: 0, ms_per_token: 1.0, first_token_ms: 0 };
    let queues: [Box<dyn AdmissionQueue>; 2] =
        [Box::new(FairQueue::new()), Box::new(FifoQueue::new())];
    for (name, mut queue) in ["fair", "first in, first out"].into_iter().zip(queues) {
        for id in 0..12 {
            let organisation = if id < 9 { "chain" } else { "dealer" };
            let ticket = Ticket::new(id, organisation, "caller", 0).with_cost(100);
            if let Err(refusal) = queue.offer(ticket, 0, supply) {
                println!("{}", refusal.to_problem());
            }
        }
        let order: Vec<String> =
            std::iter::from_fn(|| queue.take_next(0)).map(|ticket| ticket.organisation).collect();
        println!("{name}: {}", order.join(" "));
    }
}
