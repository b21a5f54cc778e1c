//! Derives member events from an update.

use crate::member::{MemberEvent, MemberEventKind, MemberState, MemberUpdate};
use crate::record::MemberRecord;

/// Whether the update says that the member is leaving or dead.
pub(crate) fn has_left(update: &MemberUpdate) -> bool {
    update.state >= MemberState::Leaving
}

/// Appends the events that follow from replacing the former record of a member by `update`.
pub(crate) fn push_member_events(
    former: Option<&MemberRecord>,
    update: &MemberUpdate,
    events: &mut Vec<MemberEvent>,
) {
    let known = former.filter(|record| !record.is_dead());
    let restarted = known.filter(|it| it.view.spec.incarnation != update.spec.incarnation);
    let was_live = known.is_some_and(MemberRecord::is_live);
    let is_live = update.state <= MemberState::Suspect;
    let spec = update.spec;
    let mut push = |spec, kind| events.push(MemberEvent { spec, kind });
    if was_live && is_live {
        if restarted.is_some() {
            push(spec, MemberEventKind::Restarted);
        }
        return;
    }
    if let Some(record) = restarted {
        push(record.view.spec, MemberEventKind::Died);
    } else if known.is_some() && update.state == MemberState::Dead {
        push(spec, MemberEventKind::Died);
    } else if was_live && update.state == MemberState::Leaving {
        push(spec, MemberEventKind::Left);
    }
    if is_live {
        push(spec, MemberEventKind::Joined);
    }
}
