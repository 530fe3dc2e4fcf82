//! Service order of a small and a large organisation under fair queueing and under FIFO.

use hickorycourse_admission::prelude::*;

fn main() {
    let capacity =
        UpstreamCapacity { slots: 1, free_slots: 0, ms_per_token: 1.0, first_token_ms: 0 };
    let queues: [Box<dyn AdmissionQueue>; 2] =
        [Box::new(FairQueue::new()), Box::new(FifoQueue::new())];
    for (name, mut queue) in ["fair", "first in, first out"].into_iter().zip(queues) {
        for id in 0..12 {
            let organisation = if id < 9 { "chain" } else { "dealer" };
            let request = QueuedRequest::new(id, organisation, "caller", 0).with_cost(100);
            if let Err(refusal) = queue.try_enqueue(request, 0, capacity) {
                println!("{}", refusal.to_problem());
            }
        }
        let order: Vec<String> =
            std::iter::from_fn(|| queue.dequeue(0)).map(|request| request.organisation).collect();
        println!("{name}: {}", order.join(" "));
    }
}
