//! Lists of the store that arrive in several pages.

use catkin_entry::{RepeatedPageError, StorePage, StoredEntry, append_page};

fn page(names: &[&str], has_more: bool, revision: u64) -> StorePage {
    let entries = names.iter().map(|name| StoredEntry {
        name: (*name).to_owned(),
        revision,
        removed: false,
        content: "{}".to_owned(),
    });
    StorePage {
        entries: entries.collect(),
        unreadable: 0,
        names: names.iter().map(|name| (*name).to_owned()).collect(),
        has_more,
        revision,
        era: 0,
    }
}

/// A page of one object that can't be read but for its name.
fn unreadable_page(name: &str) -> StorePage {
    StorePage { entries: Vec::new(), unreadable: 1, ..page(&[name], true, 5) }
}

fn names(list: &StorePage) -> Vec<&str> {
    list.entries.iter().map(|entry| entry.name.as_str()).collect()
}

#[test]
fn pages_make_up_one_list_as_of_the_first() {
    let mut list = page(&["a", "b"], true, 5);

    append_page(&mut list, page(&["c", "d"], true, 6)).unwrap();
    append_page(&mut list, page(&["e"], false, 7)).unwrap();

    assert_eq!(names(&list), ["a", "b", "c", "d", "e"]);
    assert_eq!((list.revision, list.has_more), (5, false));
}

/// Guards against a list that is read without an end, and grows, since the store repeats a page, goes back to an
/// earlier one or sends one without objects.
#[test]
fn a_page_that_adds_nothing_is_an_error() {
    for repeated in [page(&["c", "d"], true, 6), page(&["a", "b"], true, 6), page(&[], true, 6)] {
        let mut list = page(&["a", "b"], true, 5);
        append_page(&mut list, page(&["c", "d"], true, 5)).unwrap();

        let appended = append_page(&mut list, repeated);

        assert_eq!(appended, Err(RepeatedPageError { after: Some("d".to_owned()) }));
        assert_eq!(names(&list), ["a", "b", "c", "d"]);
    }
}

/// Guards against a list that is given up although its pages, which overlap, get on.
#[test]
fn pages_that_overlap_are_joined() {
    let mut list = page(&["a", "b"], true, 5);

    append_page(&mut list, page(&["b", "c"], true, 5)).unwrap();
    append_page(&mut list, page(&["c"], false, 5)).unwrap();

    assert_eq!(names(&list), ["a", "b", "c"]);
    assert!(!list.has_more);
}

/// Guards against a list that does not get past an object which can't be read.
#[test]
fn an_object_of_which_only_the_name_is_read_is_progress_once() {
    let mut list = page(&["a"], true, 5);

    append_page(&mut list, unreadable_page("b")).unwrap();
    let repeated = append_page(&mut list.clone(), unreadable_page("b"));
    append_page(&mut list, page(&["c"], false, 5)).unwrap();

    assert!(repeated.is_err());
    assert_eq!((names(&list), list.unreadable), (vec!["a", "c"], 1));
}
