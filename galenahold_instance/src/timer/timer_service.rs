//! Sends periodic ticks to subscribers from one task.

use std::time;

use tokio::sync::mpsc;

use crate::task;
use crate::timer;

/// The shortest period.
const RESOLUTION: time::Duration = time::Duration::from_millis(10);

/// How long the service sleeps while it has no subscribers.
const IDLE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Sends periodic ticks to subscribers.
#[derive(Debug, Clone)]
pub(crate) struct TimerService {
    requests: mpsc::UnboundedSender<Subscriber>,
}

#[derive(Debug)]
struct Subscriber {
    period: time::Duration,
    due: time::Instant,
    ticks: mpsc::Sender<time::Instant>,
}

impl TimerService {
    /// Starts the service, which runs until the task group stops.
    pub(crate) fn start(group: &task::TaskGroup) -> Self {
        let (requests, inbox) = mpsc::unbounded_channel();
        group.spawn_until_stop(run(inbox));
        Self { requests }
    }

    /// Subscribes to a tick every `period`; the first tick is due one period from now.
    pub(crate) fn subscribe(&self, period: time::Duration) -> timer::TimerSubscription {
        let (ticks, receiver) = mpsc::channel(1);
        let subscriber = Subscriber {
            period: period.max(RESOLUTION),
            due: time::Instant::now() + period,
            ticks,
        };
        // After the service has stopped, the subscription has no ticks.
        let _ = self.requests.send(subscriber);
        timer::TimerSubscription { ticks: receiver }
    }
}

async fn run(mut inbox: mpsc::UnboundedReceiver<Subscriber>) {
    let mut subscribers: Vec<Subscriber> = Vec::new();
    loop {
        let next = subscribers.iter().map(|subscriber| subscriber.due).min();
        let next = next.unwrap_or_else(|| time::Instant::now() + IDLE_PERIOD);
        tokio::select! {
            () = tokio::time::sleep_until(next.into()) => {}
            Some(subscriber) = inbox.recv() => subscribers.push(subscriber),
        }
        let now = time::Instant::now();
        subscribers.retain_mut(|subscriber| subscriber.notify(now));
    }
}

impl Subscriber {
    /// Sends a tick if it is due; returns whether the subscription is still open.
    fn notify(&mut self, now: time::Instant) -> bool {
        if now < self.due {
            return !self.ticks.is_closed();
        }
        // After a pause of the process, one tick replaces all missed ones.
        self.due = (self.due + self.period).max(now);
        !matches!(
            self.ticks.try_send(now),
            Err(mpsc::error::TrySendError::Closed(_))
        )
    }
}
