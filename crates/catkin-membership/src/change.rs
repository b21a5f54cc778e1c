//! What a new belief changes.

use crate::member::{MemberEvent, MemberEventKind, MemberState, MemberUpdate};
use crate::record::MemberRecord;

/// Whether a belief says that its member is gone or going.
pub(crate) fn is_gone(update: &MemberUpdate) -> bool {
    update.state >= MemberState::Leaving
}

/// Reports what a new belief means for the live members.
pub(crate) fn note_change(
    former: Option<&MemberRecord>,
    update: &MemberUpdate,
    events: &mut Vec<MemberEvent>,
) {
    let kept = former.filter(|record| !record.is_dead());
    let restarted = kept.filter(|it| it.view.spec.incarnation != update.spec.incarnation);
    let was_live = kept.is_some_and(MemberRecord::is_live);
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
    } else if kept.is_some() && update.state == MemberState::Dead {
        push(spec, MemberEventKind::Died);
    } else if was_live && update.state == MemberState::Leaving {
        push(spec, MemberEventKind::Left);
    }
    if is_live {
        push(spec, MemberEventKind::Joined);
    }
}
