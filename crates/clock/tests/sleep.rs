//! Waits of tasks whose thread, or process, does not run for a while.

use std::time::{Duration, Instant};

use hickorycourse_clock::{sleep, timeout};
use ntex::rt;

const INTERRUPTED: Duration = Duration::from_millis(1_500);
const WAIT: Duration = Duration::from_millis(100);
/// Longest time by which a wait may last longer.
const LATE: Duration = Duration::from_millis(200);

/// Stops the thread beside another wait that ends meanwhile.
async fn interrupt() {
    rt::spawn(sleep(WAIT));
    sleep(WAIT / 4).await;
    std::thread::sleep(INTERRUPTED);
}

// Guards against waits that are longer by an interruption which had ended when they began.
#[ntex::test]
async fn sleep_after_interruption_lasts_as_set() {
    interrupt().await;
    let began_at = Instant::now();
    sleep(WAIT).await;
    assert!(began_at.elapsed() <= WAIT + LATE, "{:?}", began_at.elapsed());
}

#[ntex::test]
async fn timeout_after_interruption_lasts_as_set() {
    interrupt().await;
    let began_at = Instant::now();
    assert!(timeout(WAIT, std::future::pending::<()>()).await.is_err());
    assert!(began_at.elapsed() <= WAIT + LATE, "{:?}", began_at.elapsed());
}
