//! A key-value service in memory, with the failures that the real one has.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use crate::key_value::{
    KeyValue, Lease, LocalFuture, PlatformError, Stored, Swap, Watch, WatchEvent,
};

/// What happens to the next calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryFault {
    /// Nothing is done and the call is refused.
    Refuse,
    /// The write takes effect, its answer is lost.
    LoseAnswer,
    /// The write is lost and so is the answer.
    LoseCall,
}

#[derive(Default)]
struct Inner {
    values: BTreeMap<String, Stored>,
    revision: u64,
    faults: VecDeque<MemoryFault>,
    down: bool,
    calls: u64,
    next_lease: i64,
}

/// A fake of the key-value service; clones share the same store.
#[derive(Clone, Default)]
pub struct MemoryKeyValue {
    inner: Rc<RefCell<Inner>>,
}

impl MemoryKeyValue {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets the next call fail in this way; may be called several times.
    pub fn plan_fault(&self, fault: MemoryFault) {
        self.inner.borrow_mut().faults.push_back(fault);
    }

    /// Takes the service down or brings it back.
    pub fn set_down(&self, down: bool) {
        self.inner.borrow_mut().down = down;
    }

    /// How many calls came in.
    pub fn count_calls(&self) -> u64 {
        self.inner.borrow().calls
    }

    fn enter(&self) -> Result<Option<MemoryFault>, PlatformError> {
        let mut inner = self.inner.borrow_mut();
        inner.calls += 1;
        if inner.down {
            return Err(PlatformError::Refused("down".to_owned()));
        }
        match inner.faults.pop_front() {
            Some(MemoryFault::Refuse) => Err(PlatformError::Refused("planned".to_owned())),
            fault => Ok(fault),
        }
    }
}

impl Inner {
    fn swap(&mut self, key: &str, expected_revision: u64, value: &[u8]) -> Swap {
        let stored = self.values.get(key);
        if stored.map_or(0, |stored| stored.mod_revision) != expected_revision {
            return Swap::Conflict { stored: stored.cloned() };
        }
        self.revision += 1;
        let mod_revision = self.revision;
        let stored = Stored { key: key.to_owned(), value: value.to_vec(), mod_revision };
        self.values.insert(key.to_owned(), stored);
        Swap::Swapped { mod_revision }
    }
}

fn lost<T>() -> Result<T, PlatformError> {
    Err(PlatformError::Uncertain("planned".to_owned()))
}

impl KeyValue for MemoryKeyValue {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<Stored>, PlatformError>> {
        Box::pin(async move {
            match self.enter()? {
                Some(_) => lost(),
                None => Ok(self.inner.borrow().values.get(key).cloned()),
            }
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since_revision: u64,
    ) -> LocalFuture<'a, Result<Vec<Stored>, PlatformError>> {
        Box::pin(async move {
            if self.enter()?.is_some() {
                return lost();
            }
            let inner = self.inner.borrow();
            let matching = inner.values.values().filter(|stored| {
                stored.key.starts_with(prefix) && stored.mod_revision >= since_revision
            });
            Ok(matching.cloned().collect())
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected_revision: u64,
        value: &'a [u8],
        _lease: Option<Lease>,
    ) -> LocalFuture<'a, Result<Swap, PlatformError>> {
        Box::pin(async move {
            let fault = self.enter()?;
            if fault == Some(MemoryFault::LoseCall) {
                return lost();
            }
            let swap = self.inner.borrow_mut().swap(key, expected_revision, value);
            if fault.is_some() { lost() } else { Ok(swap) }
        })
    }

    fn grant_lease(&self, ttl_ms: u64) -> LocalFuture<'_, Result<Lease, PlatformError>> {
        Box::pin(async move {
            self.enter()?;
            let mut inner = self.inner.borrow_mut();
            inner.next_lease += 1;
            Ok(Lease { id: inner.next_lease, ttl_ms })
        })
    }

    fn renew_lease(&self, _lease: Lease) -> LocalFuture<'_, Result<bool, PlatformError>> {
        Box::pin(async move { self.enter().map(|_| true) })
    }

    fn revoke_lease(&self, _lease: Lease) -> LocalFuture<'_, Result<(), PlatformError>> {
        Box::pin(async move { self.enter().map(|_| ()) })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalFuture<'a, Result<Box<dyn Watch>, PlatformError>> {
        Box::pin(async move {
            self.enter()?;
            let from_revision = self.inner.borrow().revision;
            let watch = MemoryWatch {
                store: self.clone(),
                prefix: prefix.to_owned(),
                seen_revision: from_revision,
            };
            let watch: Box<dyn Watch> = Box::new(watch);
            Ok(watch)
        })
    }
}

struct MemoryWatch {
    store: MemoryKeyValue,
    prefix: String,
    seen_revision: u64,
}

impl Watch for MemoryWatch {
    fn next(&mut self) -> LocalFuture<'_, Option<Result<Vec<WatchEvent>, PlatformError>>> {
        Box::pin(async move {
            let inner = self.store.inner.borrow();
            if inner.down {
                return None;
            }
            let seen = self.seen_revision;
            let fresh = inner.values.values().filter(|stored| {
                stored.key.starts_with(&self.prefix) && stored.mod_revision > seen
            });
            let events = fresh.cloned().map(WatchEvent::Put).collect();
            self.seen_revision = inner.revision;
            Some(Ok(events))
        })
    }
}
