//! Checks a caller's call against the declarations: team, class, route and deadline.

use bytes::Bytes;
use catkin_backend::is_control_path;
use catkin_base::{
    CallRefusal, ChatId, ClassId, ClockTime, PoolId, RefusalReason, RequestDigest, RequestId,
    ServerId, TeamId, digest_hex, hash_parts,
};
use catkin_caller::{CallRequest, CallTarget};
use catkin_settings::{ClassRule, TeamRule};

use crate::fleet_index::{CHAT_PATH, FleetIndex, TeamEntry, model_pool, service_pool};
use crate::hint::HintKey;

/// Bytes of a request body that count as one prompt token when its length is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// A call whose team, class and target are declared and allowed.
#[derive(Debug, Clone)]
pub(crate) struct CheckedCall {
    pub(crate) request: RequestId,
    pub(crate) team: TeamId,
    pub(crate) team_name: String,
    pub(crate) class: ClassId,
    pub(crate) class_name: String,
    pub(crate) priority: u32,
    pub(crate) deadline: ClockTime,
    pub(crate) chat: ChatId,
    /// Whether a server may have the prompt's prefix in its cache: the caller named the chat, and
    /// the target is a model.
    pub(crate) may_be_cached: bool,
    pub(crate) pool: PoolId,
    /// Path of the request to the server.
    pub(crate) path: String,
    pub(crate) streamed: bool,
    /// `None` for a chat completion.
    pub(crate) service: Option<ServiceCall>,
    /// Server that answered the chat's last turn, by the hint that the caller sent back.
    pub(crate) hint: Option<ServerId>,
    /// Digest of team, path and body, under which crashes are counted.
    pub(crate) digest: RequestDigest,
    pub(crate) body: Bytes,
}

/// Fields that only calls to a service, not to a model, have.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    pub(crate) name: String,
    pub(crate) idempotent: bool,
    /// Path at which servers return the recorded answer to a key.
    pub(crate) look_up_path: Option<String>,
    /// Idempotency key that the caller sent.
    pub(crate) key: Option<String>,
    /// Idempotency key that is sent to servers, from [`build_service_key`].
    pub(crate) server_key: Option<String>,
}

/// Builds the idempotency key that is sent to a service from the key that the caller chose.
///
/// The team's identifier is part of it: teams choose keys independently, and equal keys of two
/// teams must not share a record of the service.
pub fn build_service_key(team: TeamId, key: &str) -> String {
    format!("{team}-{key}")
}

/// Pool and path that a call's target resolves to.
struct CallRoute {
    pool: PoolId,
    path: String,
    streamed: bool,
    service: Option<ServiceCall>,
}

impl CheckedCall {
    /// Checks a call against the declarations in force at the time `now`.
    ///
    /// Refuses an unknown token, a class that is not declared or not allowed to the team, a target
    /// that is not declared, a control path, and a call without the idempotency key that its
    /// service requires.
    pub(crate) fn check(
        index: &FleetIndex,
        hints: &HintKey,
        request: CallRequest,
        now: ClockTime,
    ) -> Result<Self, CallRefusal> {
        let (team, team_rule) = find_team(index, &request.token)?;
        let (class_name, class) = find_class(index, team_rule, request.class.as_deref())?;
        let route = find_route(index, team.team, &request)?;
        let millis = request.deadline_millis.unwrap_or(class.deadline_millis);
        let chat_name = request.chat.as_deref();
        Ok(Self {
            request: request.request,
            team: team.team,
            team_name: team.name.clone(),
            class: ClassId::from_name(class_name),
            class_name: class_name.to_owned(),
            priority: class.priority,
            deadline: now.plus_millis(millis),
            chat: derive_chat(team.team, chat_name, request.request),
            may_be_cached: chat_name.is_some() && route.service.is_none(),
            pool: route.pool,
            streamed: route.streamed,
            service: route.service,
            hint: request.hint.as_deref().and_then(|hint| hints.verify_hint(team.team, hint)),
            digest: digest_request(team.team, &route.path, &request.body),
            path: route.path,
            body: request.body,
        })
    }

    /// Whether the call may be sent to more than one server.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.service.as_ref().is_none_or(|service| service.idempotent)
    }

    /// Estimated length of the prompt, in tokens.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        (self.body.len() / BYTES_PER_TOKEN) as u32
    }
}

fn digest_request(team: TeamId, path: &str, body: &[u8]) -> RequestDigest {
    RequestDigest(hash_parts(&[&team.0.to_le_bytes(), path.as_bytes(), body]))
}

fn find_team<'a>(
    index: &'a FleetIndex,
    token: &str,
) -> Result<(&'a TeamEntry, &'a TeamRule), CallRefusal> {
    let digest = digest_hex(token.as_bytes());
    index.team_by_digest(&digest).ok_or_else(|| {
        CallRefusal::not_run(RefusalReason::Unauthorized, "The token is not that of a team.")
    })
}

fn find_class<'a>(
    index: &'a FleetIndex,
    team: &TeamRule,
    name: Option<&str>,
) -> Result<(&'a str, &'a ClassRule), CallRefusal> {
    let Some((name, class)) = index.class(name) else {
        return Err(CallRefusal::not_run(RefusalReason::NotFound, "The class is not declared."));
    };
    let allowed = team.classes.is_empty() || team.classes.iter().any(|class| class == name);
    if !allowed {
        let detail = format!("The team may not use class {name}.");
        return Err(CallRefusal::not_run(RefusalReason::Forbidden, detail));
    }
    Ok((name, class))
}

fn find_route(
    index: &FleetIndex,
    team: TeamId,
    request: &CallRequest,
) -> Result<CallRoute, CallRefusal> {
    match &request.target {
        CallTarget::Chat { model, streamed } => find_chat_route(index, model, *streamed),
        CallTarget::Service { service, path } => {
            find_service_route(index, team, service, path, request.idempotency_key.as_deref())
        }
    }
}

fn find_chat_route(
    index: &FleetIndex,
    model: &str,
    streamed: bool,
) -> Result<CallRoute, CallRefusal> {
    if !index.has_model(model) {
        let detail = "The model is not declared.";
        return Err(CallRefusal::not_run(RefusalReason::NotFound, detail));
    }
    Ok(CallRoute { pool: model_pool(model), path: CHAT_PATH.to_owned(), streamed, service: None })
}

fn find_service_route(
    index: &FleetIndex,
    team: TeamId,
    name: &str,
    path: &str,
    key: Option<&str>,
) -> Result<CallRoute, CallRefusal> {
    let Some(rule) = index.service(name) else {
        let detail = "The service is not declared.";
        return Err(CallRefusal::not_run(RefusalReason::NotFound, detail));
    };
    if is_control_path(path) {
        let detail = "The path is not open to callers.";
        return Err(CallRefusal::not_run(RefusalReason::Forbidden, detail));
    }
    if !rule.idempotent && key.is_none() {
        let detail = "This service may not repeat calls: an idempotency-key header is needed.";
        return Err(CallRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    let service = ServiceCall {
        name: name.to_owned(),
        idempotent: rule.idempotent,
        look_up_path: rule.look_up_path.clone(),
        key: key.map(str::to_owned),
        server_key: key.map(|key| build_service_key(team, key)),
    };
    Ok(CallRoute {
        pool: service_pool(name),
        path: path.to_owned(),
        streamed: false,
        service: Some(service),
    })
}

fn derive_chat(team: TeamId, name: Option<&str>, request: RequestId) -> ChatId {
    match name {
        Some(name) => ChatId::from_names(team, name),
        None => ChatId(request.0),
    }
}
