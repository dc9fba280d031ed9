//! Keys of requests that must not run twice, and the answers recorded for their repeats.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use claims::{RecordedResponse, RequestFingerprint};

use crate::body::AnswerStream;
use crate::dispatch::RequestHead;
use crate::headers::REPLAYED_HEADER;
use crate::refusal::RequestRefusal;

/// Header by which a caller names a request that must not run twice.
const KEY_HEADER: &str = "idempotency-key";

/// Longest `Idempotency-Key` in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Marks a replayed answer that is whole.
const BODY_WHOLE: HeaderValue = HeaderValue::from_static("whole");

/// Marks a replayed answer whose body was too large to record.
const BODY_NOT_KEPT: HeaderValue = HeaderValue::from_static("body-not-kept");

/// The request's `Idempotency-Key`, if it has one.
pub(crate) fn read_key(headers: &HeaderMap) -> Result<Option<Box<str>>, RequestRefusal> {
    let mut named = headers.get_all(KEY_HEADER).iter();
    let Some(value) = named.next() else {
        return Ok(None);
    };
    if named.next().is_some() {
        return Err(RequestRefusal::Malformed("it has more than one Idempotency-Key"));
    }
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.into())),
        _ => Err(RequestRefusal::Malformed("its Idempotency-Key is not 1 to 255 characters")),
    }
}

/// Digest of a request, by which a repeat with the same key is compared.
pub(crate) fn fingerprint(head: &RequestHead, body_part: &Bytes) -> RequestFingerprint {
    let field = |name: &str| head.headers.get(name).map_or(&b""[..], HeaderValue::as_bytes);
    RequestFingerprint::of(&[
        head.method.as_str().as_bytes(),
        head.target.to_string().as_bytes(),
        field("content-length"),
        field("content-digest"),
        body_part,
    ])
}

/// What is recorded of an answer; `body` is `None` when it is too large.
pub(crate) fn recorded(
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

/// The recorded answer for a repeated request.
pub(crate) fn replay(answer: &RecordedResponse) -> Response<AnswerStream> {
    let body = answer.body.clone().unwrap_or_default();
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in &answer.headers {
        let is_length = &**name == "content-length" && answer.body.is_none();
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value), false) = (name, HeaderValue::from_str(value), is_length) {
            response.headers_mut().append(name, value);
        }
    }
    let mark = if answer.body.is_some() { BODY_WHOLE } else { BODY_NOT_KEPT };
    response.headers_mut().insert(REPLAYED_HEADER, mark);
    response
}
