//! Waits for slots: the queue's decisions as futures.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::{sync::oneshot, time};

use crate::{clock, queue, record};

type Answer = Result<Slot, queue::Refusal>;

/// Shared access to the queue of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    clock: clock::Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    queue: queue::Queue,
    waiters: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    ticket: queue::Ticket,
    class: record::Class,
    answer: oneshot::Sender<Answer>,
}

impl Admission {
    /// Admission by `queue`, at times of `clock`.
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

    /// Reads or changes the queue.
    pub fn with_queue<T>(&self, f: impl FnOnce(&mut queue::Queue) -> T) -> T {
        f(&mut self.state().queue)
    }

    /// Waits for a slot; a request that is dropped while it waits leaves the queue.
    pub async fn admit(&self, class: record::Class, deadline: clock::Millis) -> Answer {
        let now = self.clock.now();
        let (ticket, mut answer, latest) = {
            let mut state = self.state();
            match state.queue.submit(class, deadline, now) {
                queue::Decision::Start => return Ok(self.slot(class, now)),
                queue::Decision::Refuse(refusal) => return Err(refusal),
                queue::Decision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.push(Waiter {
                        ticket,
                        class,
                        answer: sender,
                    });
                    (
                        ticket,
                        receiver,
                        state.queue.latest_start(class, deadline, now),
                    )
                }
            }
        };
        let _leave = Leave {
            admission: self,
            ticket,
        };
        let end = self.clock.instant(latest).into();
        match time::timeout_at(end, &mut answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(queue::Refusal::Late),
        }
    }

    /// Follows an upstream that announces other limits.
    pub fn set_limits(&self, limits: queue::Limits) {
        self.free(|queue, _| queue.set_limits(limits));
    }

    /// Takes a connection for a feed.
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

    /// Frees a slot and hands it on.
    fn free(&self, free: impl FnOnce(&mut queue::Queue, clock::Millis)) {
        let now = self.clock.now();
        let mut state = self.state();
        free(&mut state.queue, now);
        let answers = state.turns(now);
        drop(state);
        for (waiter, refusal) in answers {
            let answer = refusal.map_or_else(|| Ok(self.slot(waiter.class, now)), Err);
            drop(waiter.answer.send(answer));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Turned = (Waiter, Option<queue::Refusal>);

impl State {
    fn turns(&mut self, now: clock::Millis) -> Vec<Turned> {
        let mut turned = Vec::new();
        while let Some(turn) = self.queue.dequeue(now) {
            let (ticket, refusal) = match turn {
                queue::Dequeued::Start(ticket) => (ticket, None),
                queue::Dequeued::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            if let Some(waiter) = self.take(ticket) {
                turned.push((waiter, refusal));
            }
        }
        turned
    }

    fn take(&mut self, ticket: queue::Ticket) -> Option<Waiter> {
        let place = self
            .waiters
            .binary_search_by_key(&ticket, |w| w.ticket)
            .ok()?;
        Some(self.waiters.remove(place))
    }
}

/// Takes a request out of the queue when it stops waiting.
struct Leave<'a> {
    admission: &'a Admission,
    ticket: queue::Ticket,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.state();
        state.queue.cancel(self.ticket);
        state.take(self.ticket);
    }
}

/// A slot that one request holds.
#[derive(Debug)]
pub struct Slot {
    admission: Admission,
    class: record::Class,
    started: clock::Millis,
    is_held: bool,
}

impl Slot {
    /// Frees the slot and records its service time.
    pub fn complete(mut self) {
        self.is_held = false;
        self.admission
            .free(|queue, now| queue.complete(self.class, self.started, now));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_held {
            self.admission
                .free(|queue, now| queue.release(self.class, self.started, now));
        }
    }
}

/// A connection that one feed holds.
#[derive(Debug)]
pub struct Feed(Admission);

impl Drop for Feed {
    fn drop(&mut self) {
        self.0.state().queue.close_feed();
    }
}
