//! Counts of a router's calls to the platform.

use catkin_base::copy_type;

copy_type! {
    /// Kind of a platform call.
    pub enum CallKind {
        /// Reads one object.
        Get,
        /// Writes one object.
        Put,
        /// Deletes one object.
        Delete,
        /// Lists keys.
        List,
        /// Waits for a change of one object.
        Watch,
        /// Reads the list of VMs.
        ListVms,
    }
}

impl CallKind {
    /// Whether the call may change an object.
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }

    /// Name of the kind in the operators' status.
    pub const fn as_word(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
            Self::ListVms => "list-vms",
        }
    }
}

copy_type! {
    /// Numbers of calls by kind and of calls that failed or were not sent.
    #[derive(Default)]
    pub struct CallCounts {
        /// Reads of one object.
        pub gets: u64,
        /// Writes of one object.
        pub puts: u64,
        /// Deletions.
        pub deletes: u64,
        /// Lists of keys.
        pub lists: u64,
        /// Watches.
        pub watches: u64,
        /// Reads of the list of VMs.
        pub vm_lists: u64,
        /// Calls without a usable response.
        pub failures: u64,
        /// Calls that the router did not send, because its budget was exhausted or it was backing
        /// off.
        pub held_back: u64,
    }
}

impl CallCounts {
    /// Counts a call that is about to be sent.
    pub fn record_sent(&mut self, kind: CallKind) {
        let count = match kind {
            CallKind::Get => &mut self.gets,
            CallKind::Put => &mut self.puts,
            CallKind::Delete => &mut self.deletes,
            CallKind::List => &mut self.lists,
            CallKind::Watch => &mut self.watches,
            CallKind::ListVms => &mut self.vm_lists,
        };
        *count += 1;
    }

    /// Adds other counts to these.
    pub fn plus(self, other: Self) -> Self {
        Self {
            gets: self.gets + other.gets,
            puts: self.puts + other.puts,
            deletes: self.deletes + other.deletes,
            lists: self.lists + other.lists,
            watches: self.watches + other.watches,
            vm_lists: self.vm_lists + other.vm_lists,
            failures: self.failures + other.failures,
            held_back: self.held_back + other.held_back,
        }
    }

    /// Number of all calls that were sent.
    pub fn sent(&self) -> u64 {
        self.gets + self.puts + self.deletes + self.lists + self.watches + self.vm_lists
    }
}
