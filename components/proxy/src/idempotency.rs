//! Idempotency keys, request fingerprints, and responses recorded for repeated requests.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use claims::{RecordedResponse, RequestFingerprint};

use crate::body::CallerResponseBody;
use crate::dispatch::RequestHead;
use crate::headers::REPLAYED_HEADER;
use crate::refusal::RequestRefusal;

/// Header with the caller's key for a request that must not run twice.
const KEY_HEADER: &str = "idempotency-key";

/// Longest `Idempotency-Key` in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Value of `REPLAYED_HEADER` for a replayed response with its whole body.
const REPLAYED_WITH_BODY: HeaderValue = HeaderValue::from_static("whole");

/// Value of `REPLAYED_HEADER` for a replayed response whose body was too large to record.
const REPLAYED_WITHOUT_BODY: HeaderValue = HeaderValue::from_static("body-not-kept");

/// Returns the request's `Idempotency-Key`, if it has one.
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

/// Returns the fingerprint that shows whether a later request with the same key is a repetition.
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

/// Builds the record of a response; `body` is `None` if it is too large.
pub(crate) fn recorded_response(
    status: &StatusCode,
    headers: &HeaderMap,
    body: Option<&Bytes>,
) -> RecordedResponse {
    let headers = headers
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    RecordedResponse { status: status.as_u16(), headers, body: body.map(|bytes| bytes.to_vec()) }
}

/// Builds the response to a repeated request from the recorded one.
pub(crate) fn replay_response(recorded: &RecordedResponse) -> Response<CallerResponseBody> {
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
