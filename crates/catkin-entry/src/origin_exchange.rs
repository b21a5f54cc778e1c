//! Exchanges with other routers at which software versions streams began.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use catkin_base::VmId;
use catkin_peer::MessageSource;
use catkin_peer::messages::peer_message::Kind;
use catkin_peer::messages::{
    EntryReport, OriginWriter, StreamOrigin, StreamOriginAsk, StreamOrigins,
};
use tokio::time::sleep;

use crate::origin_book::{SoftwareKey, StreamKey, choose_asked_keepers, choose_keepers};
use crate::origin_plan::{WriterCandidate, WriterStanding};
use crate::origin_store::choose_writer;
use crate::peer_service::PeerService;
use crate::relay_plan::{FleetMember, MAX_SMALL_FLEET};
use crate::state::EntryState;
use crate::wire::EntryWire;

/// Maximum number of stream origins in one message, so that it fits a datagram.
const MAX_ORIGINS: usize = 48;
/// Interval at which other routers are asked for the origin of a stream.
const ORIGIN_ASK_INTERVAL: Duration = Duration::from_millis(30);

impl PeerService {
    /// Tells other routers at which software versions streams began.
    pub(crate) fn send_origins<W: EntryWire>(&self, state: &EntryState<W>) {
        let unsent = state.origins.borrow_mut().unsent_origins();
        if unsent.is_empty() {
            return;
        }
        let routers = self.list_live_routers(state);
        let writer = choose_writer(state, self).filter(|writer| *writer != state.local_vm);
        let mut by_router: BTreeMap<VmId, Vec<StreamOrigin>> = BTreeMap::new();
        for (key, software) in unsent {
            let keepers = choose_keepers(key, &routers);
            let writer = writer.filter(|writer| !keepers.contains(writer));
            for vm in keepers.into_iter().chain(writer) {
                let origin = StreamOrigin { stream: key.0, software: software.0 };
                by_router.entry(vm).or_default().push(origin);
            }
        }
        for (vm, origins) in by_router {
            for batch in origins.chunks(MAX_ORIGINS) {
                self.send_kind(vm, Kind::StreamOrigins(StreamOrigins { origins: batch.to_vec() }));
            }
        }
    }

    /// Asks other routers for the origins of streams that are resumed here, as long as they are
    /// wanted.
    pub(crate) async fn query_origins<W: EntryWire>(&self, state: &Rc<EntryState<W>>) {
        loop {
            let wanted = state.asked_origins_change.notified();
            if state.asked_origins.borrow().is_empty() {
                wanted.await;
            }
            let routers = self.list_live_routers(state);
            for key in state.asked_origins.borrow().iter() {
                for vm in choose_asked_keepers(*key, &routers) {
                    let ask = StreamOriginAsk { streams: vec![key.0] };
                    self.send_kind(vm, Kind::StreamOriginAsk(ask));
                }
            }
            sleep(ORIGIN_ASK_INTERVAL).await;
        }
    }

    pub(crate) fn answer_origin_ask<W: EntryWire>(
        &self,
        state: &EntryState<W>,
        source: &MessageSource,
        ask: &StreamOriginAsk,
    ) {
        let book = state.origins.borrow();
        let found = ask.streams.iter().filter_map(|stream| {
            let software = book.find(StreamKey(*stream))?.0;
            Some(StreamOrigin { stream: *stream, software })
        });
        let origins: Vec<StreamOrigin> = found.collect();
        if !origins.is_empty() {
            self.send_kind(source.vm, Kind::StreamOrigins(StreamOrigins { origins }));
        }
    }

    /// The other routers that may write the origins of this router's group: all of a small fleet, or
    /// those of its failure domain.
    pub(crate) fn list_writer_candidates<W: EntryWire>(
        &self,
        state: &EntryState<W>,
    ) -> Vec<WriterCandidate> {
        let (_, others) = self.list_members(state);
        let is_large = others.len() >= MAX_SMALL_FLEET;
        let in_group = |member: &&FleetMember| {
            member.alive && (!is_large || member.domain == Some(state.local_domain))
        };
        let writers = others.iter().filter(in_group).filter_map(|member| {
            let standing = self.writer_standing(member.vm)?;
            Some(WriterCandidate { vm: member.vm, standing, strength: member.strength })
        });
        writers.collect()
    }

    /// The other routers that count as alive.
    fn list_live_routers<W: EntryWire>(&self, state: &EntryState<W>) -> Vec<VmId> {
        let (_, others) = self.list_members(state);
        others.iter().filter(|member| member.alive).map(|member| member.vm).collect()
    }
}

/// Encodes how well this router can write origins.
pub(crate) fn encode_standing(standing: Option<WriterStanding>) -> OriginWriter {
    match standing {
        None => OriginWriter::None,
        Some(WriterStanding::Refused) => OriginWriter::Refused,
        Some(WriterStanding::Incomplete) => OriginWriter::Incomplete,
        Some(WriterStanding::Stopping) => OriginWriter::Stopping,
        Some(WriterStanding::Able) => OriginWriter::Able,
    }
}

/// Reads how well the sender of a report can write origins; `None` if it can't.
pub(crate) fn decode_standing(report: &EntryReport) -> Option<WriterStanding> {
    match report.origin_writer() {
        OriginWriter::Refused => Some(WriterStanding::Refused),
        OriginWriter::Incomplete => Some(WriterStanding::Incomplete),
        OriginWriter::Stopping => Some(WriterStanding::Stopping),
        OriginWriter::Able => Some(WriterStanding::Able),
        OriginWriter::None => report.stores_origins.then_some(WriterStanding::Able),
    }
}

/// Records origins that another router reported.
pub(crate) fn record_origins<W: EntryWire>(state: &EntryState<W>, reported: &StreamOrigins) {
    let now = state.now();
    let mut book = state.origins.borrow_mut();
    for origin in &reported.origins {
        book.record_reported(now, StreamKey(origin.stream), SoftwareKey(origin.software));
    }
    drop(book);
    state.origins_change.notify_waiters();
}
