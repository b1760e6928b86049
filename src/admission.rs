//! Asynchronous access to the admission queue of one upstream.
//!
//! Requests await a slot; the returned guards release slots and connections
//! when they are dropped.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::{sync::oneshot, time};

use crate::{clock, mutex, queue, record};

type AdmitResult = Result<Slot, queue::Refusal>;

/// Shared handle of the queue of one upstream; cheap to clone.
#[derive(Clone, Debug)]
pub struct Admission {
    clock: clock::Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    queue: queue::Queue,
    /// Queued requests, sorted by ticket.
    waiters: Vec<Waiter>,
}

/// A queued request that awaits the result of its admission.
#[derive(Debug)]
struct Waiter {
    ticket: queue::Ticket,
    class: record::Class,
    reply: oneshot::Sender<AdmitResult>,
}

impl Admission {
    /// Creates a handle that owns `queue` and reads the time from `clock`.
    #[must_use]
    pub fn new(queue: queue::Queue, clock: clock::Clock) -> Self {
        let state = State {
            queue,
            waiters: Vec::new(),
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Calls `f` with the locked queue.
    pub fn with_queue<T>(&self, f: impl FnOnce(&mut queue::Queue) -> T) -> T {
        f(&mut self.state().queue)
    }

    /// Waits for a slot for a request whose response has to be complete by `deadline`.
    ///
    /// Dropping the future removes the request from the queue.
    pub async fn admit(&self, class: record::Class, deadline: clock::Millis) -> AdmitResult {
        let now = self.clock.now();
        let (ticket, mut receiver, latest_start) = {
            let mut state = self.state();
            match state.queue.submit(class, deadline, now) {
                queue::Decision::Start => return Ok(self.slot(class, now)),
                queue::Decision::Refuse(refusal) => return Err(refusal),
                queue::Decision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.push(Waiter {
                        ticket,
                        class,
                        reply: sender,
                    });
                    (
                        ticket,
                        receiver,
                        state.queue.latest_start(class, deadline, now),
                    )
                }
            }
        };
        let _guard = CancelGuard {
            admission: self,
            ticket,
        };
        let end = self.clock.instant(latest_start).into();
        match time::timeout_at(end, &mut receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(queue::Refusal::Late),
        }
    }

    /// Replaces the concurrency limits and starts queued requests if slots were added.
    pub fn set_limits(&self, limits: queue::Limits) {
        self.update(|queue, _| queue.set_limits(limits));
    }

    /// Reserves a connection for a feed until the returned guard is dropped.
    pub fn open_feed(&self) -> Result<Feed, queue::Refusal> {
        self.state().queue.open_feed()?;
        Ok(Feed(self.clone()))
    }

    fn slot(&self, class: record::Class, now: clock::Millis) -> Slot {
        Slot {
            admission: self.clone(),
            class,
            started: now,
            is_held: true,
        }
    }

    /// Applies a change that may free slots, then wakes the requests that left the queue.
    fn update(&self, change: impl FnOnce(&mut queue::Queue, clock::Millis)) {
        let now = self.clock.now();
        let mut state = self.state();
        change(&mut state.queue, now);
        let dequeued = state.dequeue_all(now);
        drop(state);
        for (waiter, refusal) in dequeued {
            let result = refusal.map_or_else(|| Ok(self.slot(waiter.class, now)), Err);
            drop(waiter.reply.send(result));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        mutex::lock(&self.state)
    }
}

/// A dequeued request, with the reason if it was refused.
type DequeuedWaiter = (Waiter, Option<queue::Refusal>);

impl State {
    fn dequeue_all(&mut self, now: clock::Millis) -> Vec<DequeuedWaiter> {
        let mut dequeued = Vec::new();
        while let Some(request) = self.queue.dequeue(now) {
            let (ticket, refusal) = match request {
                queue::Dequeued::Start(ticket) => (ticket, None),
                queue::Dequeued::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            if let Some(waiter) = self.remove_waiter(ticket) {
                dequeued.push((waiter, refusal));
            }
        }
        dequeued
    }

    fn remove_waiter(&mut self, ticket: queue::Ticket) -> Option<Waiter> {
        let index = self
            .waiters
            .binary_search_by_key(&ticket, |w| w.ticket)
            .ok()?;
        Some(self.waiters.remove(index))
    }
}

/// Guard that removes a request from the queue when its wait ends.
struct CancelGuard<'a> {
    admission: &'a Admission,
    ticket: queue::Ticket,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.state();
        state.queue.cancel(self.ticket);
        state.remove_waiter(self.ticket);
    }
}

/// Guard of the slot that a request holds.
#[derive(Debug)]
pub struct Slot {
    admission: Admission,
    class: record::Class,
    started: clock::Millis,
    is_held: bool,
}

impl Slot {
    /// Releases the slot and records the service time of the request.
    pub fn complete(mut self) {
        self.is_held = false;
        self.admission
            .update(|queue, now| queue.complete(self.class, self.started, now));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_held {
            self.admission
                .update(|queue, now| queue.release(self.class, self.started, now));
        }
    }
}

/// Guard of the connection that a feed holds.
#[derive(Debug)]
pub struct Feed(Admission);

impl Drop for Feed {
    fn drop(&mut self) {
        self.0.state().queue.close_feed();
    }
}
