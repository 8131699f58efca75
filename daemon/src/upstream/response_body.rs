//! Reads the short bodies of servers' responses.

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

/// The largest response body that is read to its end. The protocol of the servers has none larger.
pub(super) const MAX_BODY_BYTES: usize = 256 << 10;
/// The part of a body that is kept: a load report or a count of tokens is far shorter.
const MAX_KEPT_BYTES: usize = 16 << 10;

/// The body broke off or is too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response body broke off or is larger than 256 KiB")]
pub(super) struct InvalidBody;

/// Reads a body to its end and returns its first 16 KiB. Copies them, since a part that is kept as it arrived
/// would keep all of the buffer that it was read into.
pub(super) async fn read_to_end(body: Incoming) -> Result<Vec<u8>, InvalidBody> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut kept = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| InvalidBody)?;
        let Some(data) = frame.data_ref() else { continue };
        let kept_bytes = data.len().min(MAX_KEPT_BYTES - kept.len());
        kept.extend_from_slice(&data[..kept_bytes]);
    }
    Ok(kept)
}
