//! Watches that no instance's revision goes down.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use super::{FleetProbe, RevisionDrop};

/// Pause between looks at one instance.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(25);
/// Time that one look may take.
const LOOK_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Polls the revision of every instance on threads of its own.
///
/// An instance that has just started has none in force: it says 0 and that it is not fresh. That alone
/// is no drop.
#[derive(Debug)]
pub struct RevisionWatch {
    stopped: sync::Arc<atomic::AtomicBool>,
    watchers: Vec<thread::JoinHandle<Vec<RevisionDrop>>>,
}

impl RevisionWatch {
    /// Starts to watch all instances of a probe.
    #[must_use]
    pub fn start(probe: &FleetProbe) -> Self {
        let stopped = sync::Arc::new(atomic::AtomicBool::new(false));
        let watch = |instance| {
            let probe = probe.clone().timeout(LOOK_TIMEOUT);
            let stopped = sync::Arc::clone(&stopped);
            thread::spawn(move || watch_instance(&probe, instance, &stopped))
        };
        let watchers = (0..probe.instances()).map(watch).collect();
        Self { stopped, watchers }
    }

    /// Ends the watch and returns all drops.
    ///
    /// # Panics
    ///
    /// Panics when a watching thread did.
    #[must_use]
    pub fn finish(mut self) -> Vec<RevisionDrop> {
        self.stopped.store(true, atomic::Ordering::Relaxed);
        let watchers = std::mem::take(&mut self.watchers);
        let drops = watchers
            .into_iter()
            .map(|watcher| watcher.join().expect("the watch does not panic"));
        drops.flatten().collect()
    }
}

impl Drop for RevisionWatch {
    fn drop(&mut self) {
        self.stopped.store(true, atomic::Ordering::Relaxed);
        for watcher in self.watchers.drain(..) {
            // The test that drops it without an end has failed already.
            let _ = watcher.join();
        }
    }
}

fn watch_instance(
    probe: &FleetProbe,
    instance: usize,
    stopped: &atomic::AtomicBool,
) -> Vec<RevisionDrop> {
    let mut highest = 0;
    let mut drops = Vec::new();
    while !stopped.load(atomic::Ordering::Relaxed) {
        if let Some(look) = probe.revision(instance) {
            let nothing_yet = look.revision == 0 && !look.fresh;
            if look.revision < highest && !nothing_yet {
                drops.push(RevisionDrop {
                    instance,
                    from: highest,
                    to: look.revision,
                });
            }
            highest = highest.max(look.revision);
        }
        thread::sleep(LOOK_PAUSE);
    }
    drops
}
