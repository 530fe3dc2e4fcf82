//! Requests a second that upstreams can turn away before they fall over: what is known of them, and the
//! instances that share their slots.

use hickorycourse_permits::{LimitChange, LimitNotice, RateLimit};
use serde_json::json;

use crate::adapter::NamedLimit;
use crate::broadcast::count_dropped;
use crate::state::Relay;

impl Relay {
    /// Records what the head of a response says of the requests that its upstream can turn away. The request
    /// was sent at `sent_at_ms` to the start of the upstream at `started_at_ms`.
    pub fn record_tolerance(
        &self,
        upstream: &str,
        started_at_ms: Option<u64>,
        sent_at_ms: u64,
        named: &NamedLimit,
    ) {
        let wall_ms = self.wall_ms();
        let sent_wall_ms = wall_ms.saturating_sub(self.now_ms().saturating_sub(sent_at_ms));
        let change = match named {
            NamedLimit::Unknown => return,
            NamedLimit::Invalid(value) => {
                let event = || json!({ "upstream": upstream, "value": value });
                self.log.write("brittle_ignored", event);
                return;
            }
            NamedLimit::Limited(tolerance) => {
                let mut tolerances = self.tolerances.lock();
                tolerances.record_named(upstream, started_at_ms, *tolerance, wall_ms)
            }
            NamedLimit::Unlimited => {
                let mut tolerances = self.tolerances.lock();
                tolerances.record_unnamed(upstream, started_at_ms, sent_wall_ms, wall_ms)
            }
        };
        self.apply_tolerance(upstream, *named == NamedLimit::Unlimited);
        self.publish_tolerance_change(change, "response");
    }

    /// Records that an upstream has started anew.
    pub fn record_tolerance_restart(&self, upstream: &str) {
        let started_at_ms = self.directory.lock().started_at_ms(upstream);
        let wall_ms = self.wall_ms();
        let change = self.tolerances.lock().record_restart(upstream, started_at_ms, wall_ms);
        self.publish_tolerance_change(change, "restart");
    }

    /// Merges what another instance tells. `source` names its origin in the log.
    pub fn merge_tolerances(&self, notices: &[LimitNotice], source: &str) {
        for notice in notices {
            // A start that the store has not listed yet, or no longer lists, gets no requests.
            let (upstream, started_at_ms) = (&notice.upstream, notice.started_at_ms);
            if !self.directory.lock().lists_start(upstream, started_at_ms) {
                continue;
            }
            let wall_ms = self.wall_ms();
            let merged = self.tolerances.lock().merge(notice, wall_ms);
            match merged {
                Ok(None) => {}
                Ok(change) => {
                    self.apply_tolerance(upstream, false);
                    self.publish_tolerance_change(change, source);
                }
                Err(error) => {
                    count_dropped("brittle");
                    self.log.write("brittle_notice_ignored", || {
                        json!({
                            "source": source, "upstream": upstream, "reason": error.to_string(),
                        })
                    });
                }
            }
        }
    }

    fn publish_tolerance_change(&self, change: Option<LimitChange>, source: &str) {
        let Some(LimitChange { upstream, before, after }) = change else { return };
        self.log.write("brittle_changed", || {
            json!({
                "upstream": upstream, "source": source,
                "before": before.map(RateLimit::per_second),
                "after": after.map(RateLimit::per_second),
            })
        });
        metrics::gauge!("hickorycourse_brittle_upstreams")
            .set(self.tolerances.lock().limited().count() as f64);
        self.digest_requested.notify_one();
    }

    /// Applies what is known of an upstream to placement. Without a named number, `has_responded` is whether
    /// this start has said so.
    fn apply_tolerance(&self, upstream: &str, has_responded: bool) {
        let known = self.tolerances.lock().get(upstream).and_then(|known| known.limit);
        for (_, placement_table) in self.placement_tables() {
            let mut placement_table = placement_table.lock();
            match known {
                Some(tolerance) => {
                    let per_second = tolerance.per_second() as u64;
                    placement_table.set_tolerance(upstream, Some(per_second));
                }
                None if has_responded => placement_table.set_tolerance(upstream, None),
                None => placement_table.forget_tolerance(upstream),
            }
        }
    }

    /// Applies all that is known to placement, after a change of the upstreams.
    pub fn apply_tolerances(&self) {
        let named: Vec<String> =
            self.tolerances.lock().limited().map(|(upstream, _)| upstream.to_owned()).collect();
        for upstream in named {
            self.apply_tolerance(&upstream, false);
        }
        self.refresh_slot_holders();
    }

    /// Forgets former upstreams, and applies changes of the instances to placement.
    pub fn expire_tolerances(&self) {
        let wall_ms = self.wall_ms();
        {
            let directory = self.directory.lock();
            let is_listed =
                |upstream: &str, started_at_ms| directory.lists_start(upstream, started_at_ms);
            self.tolerances.lock().expire(wall_ms, is_listed);
        }
        self.refresh_slot_holders();
    }

    fn refresh_slot_holders(&self) {
        let now_ms = self.now_ms();
        let others: Vec<String> =
            self.members.lock().active_names(None, now_ms).map(str::to_owned).collect();
        for (_, placement_table) in self.placement_tables() {
            let others = others.iter().map(String::as_str);
            placement_table.lock().set_instances(&self.settings.instance, others);
        }
    }
}
