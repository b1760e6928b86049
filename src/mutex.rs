//! Locking of mutexes whose data stays consistent when a thread panics.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if a thread panicked while it held the lock.
///
/// Use it only if each critical section leaves the data consistent wherever it may panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
