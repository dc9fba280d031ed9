//! Keys of requests that must not run twice, and the answers recorded for their repeats.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use claims::{RecordedAnswer, RequestFingerprint};

use crate::body::CallerResponseBody;
use crate::dispatch::RequestHead;
use crate::headers::REPLAYED_HEADER;
use crate::refusal::RequestRefusal;

/// Header by which a caller names a request that must not run twice.
const KEY_HEADER: &str = "idempotency-key";

/// Longest `Idempotency-Key` in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Marks a replayed answer that is whole.
const REPLAYED_WITH_BODY: HeaderValue = HeaderValue::from_static("whole");

/// Marks a replayed answer whose body was too large to record.
const REPLAYED_WITHOUT_BODY: HeaderValue = HeaderValue::from_static("body-not-kept");

/// The request's `Idempotency-Key`, if it has one.
pub(crate) fn read_idempotency_key(
    headers: &HeaderMap,
) -> Result<Option<Box<str>>, RequestRefusal> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(RequestRefusal::Malformed("it has more than one Idempotency-Key"));
    }
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.into())),
        _ => Err(RequestRefusal::Malformed("its Idempotency-Key is not 1 to 255 characters")),
    }
}

/// Digest of a request, by which a repeat with the same key is compared.
pub(crate) fn request_fingerprint(head: &RequestHead, body_prefix: &Bytes) -> RequestFingerprint {
    let field = |name: &str| head.headers.get(name).map_or(&b""[..], HeaderValue::as_bytes);
    RequestFingerprint::of(&[
        head.method.as_str().as_bytes(),
        head.target.to_string().as_bytes(),
        field("content-length"),
        field("content-digest"),
        body_prefix,
    ])
}

/// What is recorded of an answer; `body` is `None` when it is too large.
pub(crate) fn recorded_response(
    status: &StatusCode,
    headers: &HeaderMap,
    body: Option<&Bytes>,
) -> RecordedAnswer {
    let headers = headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    RecordedAnswer { status: status.as_u16(), headers, body: body.map(|bytes| bytes.to_vec()) }
}

/// The recorded answer for a repeated request.
pub(crate) fn replay_response(recorded: &RecordedAnswer) -> Response<CallerResponseBody> {
    let body = recorded.body.clone().unwrap_or_default();
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    for (name, value) in &recorded.headers {
        let is_length = &**name == "content-length" && recorded.body.is_none();
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value), false) = (name, HeaderValue::from_str(value), is_length) {
            response.headers_mut().append(name, value);
        }
    }
    let replayed = if recorded.body.is_some() { REPLAYED_WITH_BODY } else { REPLAYED_WITHOUT_BODY };
    response.headers_mut().insert(REPLAYED_HEADER, replayed);
    response
}
