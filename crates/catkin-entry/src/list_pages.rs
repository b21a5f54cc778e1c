//! Joins the pages of a list of the store.
//!
//! Answers the pattern of a store that does not find the name after which a list continues and answers with an
//! earlier page: without a check of progress, a router would read pages without an end.

use std::collections::BTreeSet;

use catkin_base::value_type;

use crate::wire::{StorePage, StoredEntry};

value_type! {
    /// A page of a list, after which others follow, that adds nothing to the pages before.
    #[derive(thiserror::Error)]
    #[error("the page after {after:?} adds no object to the list and says that more follow")]
    pub struct RepeatedPageError {
        /// Name after which the page was to begin; `None` if it is not known.
        pub after: Option<String>,
    }
}

/// Appends the next page to a list; leaves out objects that the list has. The revision of the first page stays,
/// so that a watch from it returns changes between pages.
pub fn append_page(list: &mut StorePage, page: StorePage) -> Result<(), RepeatedPageError> {
    let known: BTreeSet<&str> = list.names.iter().map(String::as_str).collect();
    let is_new = |name: &str| !known.contains(name);
    if page.has_more && !page.names.iter().any(|name| is_new(name)) {
        return Err(RepeatedPageError { after: list.names.last().cloned() });
    }
    let added = page.entries.into_iter().filter(|entry| is_new(&entry.name));
    list.entries.extend(added.collect::<Vec<StoredEntry>>());
    list.names.extend(page.names);
    list.unreadable += page.unreadable;
    list.has_more = page.has_more;
    Ok(())
}
