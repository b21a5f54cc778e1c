//! Memory for incomplete messages that are kept until more of them arrives, over all requests.
//!
//! It answers loads in which many requests keep much at once: servers that send a part of an answer and never
//! finish, callers that read slowly. A limit for each message does not bound their sum.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that each message may keep without a share. They are a part of the memory of its connection.
pub const UNCOUNTED_BYTES: usize = 16 << 10;

/// A limit on the bytes that all messages keep.
#[derive(Debug)]
pub struct BufferBudget {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
}

impl BufferBudget {
    /// Creates a budget of this size.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, used_bytes: Cell::new(0) }
    }

    /// Bytes of all shares.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }
}

/// What one message takes of a budget. Dropping it returns the bytes.
#[derive(Debug)]
pub struct BufferShare {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl BufferShare {
    /// Creates an empty share.
    pub fn new(budget: &Rc<BufferBudget>) -> Self {
        Self { budget: Rc::clone(budget), bytes: 0 }
    }

    /// Changes the share to that of a message of `kept_bytes`. Returns false, and leaves the share as it is, if
    /// the budget does not allow it.
    pub fn try_resize(&mut self, kept_bytes: usize) -> bool {
        let bytes = kept_bytes.saturating_sub(UNCOUNTED_BYTES);
        let used_bytes = self.budget.used_bytes.get() - self.bytes + bytes;
        if bytes > self.bytes && used_bytes > self.budget.limit_bytes {
            return false;
        }
        self.budget.used_bytes.set(used_bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.used_bytes.set(self.budget.used_bytes.get() - self.bytes);
    }
}
