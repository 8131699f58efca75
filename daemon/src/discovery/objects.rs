//! Bytes of a watch into lists and changes. These may come indented over several lines, with empty lines
//! between them, and in pieces of any size: each byte is looked at once to find where an object ends.

use bytes::{Buf, BytesMut};

use super::http::DiscoveryError;
use super::platform::Listing;

/// No list is longer: 11,000 servers, indented, take less than half of it.
pub(super) const MAX_LIST_BYTES: usize = 8 << 20;

/// Where in an object the scan is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// Between objects, or in one but in no text.
    #[default]
    Structure,
    String,
    /// Behind a backslash.
    Escape,
}

/// What has come of the next object.
#[derive(Debug, Default)]
pub(super) struct ListingDecoder {
    buffer: BytesMut,
    /// So many bytes have been looked at.
    scanned_bytes: usize,
    depth: u32,
    scan_state: ScanState,
    /// A line has ended since an object that has not was last read for errors,
    has_new_line_end: bool,
    /// which is done once it has this length.
    check_at_bytes: usize,
}

impl ListingDecoder {
    /// More bytes have come.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), DiscoveryError> {
        self.buffer.extend_from_slice(data);
        self.has_new_line_end |= data.contains(&b'\n');
        match self.buffer.len() > MAX_LIST_BYTES {
            true => Err(DiscoveryError::TooLarge),
            false => Ok(()),
        }
    }

    /// Whether an object has begun and not ended.
    pub(super) fn has_partial_object(&self) -> bool {
        !self.buffer.iter().all(u8::is_ascii_whitespace)
    }

    /// The next object, if it has come whole.
    pub(super) fn next_listing(&mut self) -> Result<Option<Listing>, DiscoveryError> {
        let Some(end) = self.find_object_end() else {
            self.check_partial_object()?;
            return Ok(None);
        };
        let listing = serde_json::from_slice(&self.buffer[..end])?;
        self.buffer.advance(end);
        (self.scanned_bytes, self.check_at_bytes) = (0, 0);
        Ok(Some(listing))
    }

    /// Where the first object ends.
    fn find_object_end(&mut self) -> Option<usize> {
        while let Some(&byte) = self.buffer.get(self.scanned_bytes) {
            self.scanned_bytes += 1;
            self.scan_state = match (self.scan_state, byte) {
                (ScanState::Escape, _) => ScanState::String,
                (ScanState::String, b'\\') => ScanState::Escape,
                (ScanState::String, b'"') => ScanState::Structure,
                (ScanState::String, _) => ScanState::String,
                (ScanState::Structure, b'"') => ScanState::String,
                (ScanState::Structure, _) => ScanState::Structure,
            };
            match byte {
                _ if self.scan_state != ScanState::Structure => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        return Some(self.scanned_bytes);
                    }
                }
                _ => {}
            }
        }
        None
    }

    /// Fails for what can't become an object, whatever follows. It is read from its beginning, and so only
    /// each time that it has doubled.
    fn check_partial_object(&mut self) -> Result<(), DiscoveryError> {
        if !self.has_new_line_end || self.buffer.len() < self.check_at_bytes {
            return Ok(());
        }
        (self.has_new_line_end, self.check_at_bytes) = (false, 2 * self.buffer.len());
        match serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Listing>().next() {
            Some(Err(e)) if !e.is_eof() => Err(e.into()),
            Some(_) => Ok(()),
            None => {
                // Empty lines.
                self.buffer.clear();
                (self.scanned_bytes, self.check_at_bytes) = (0, 0);
                Ok(())
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/objects.rs"]
mod tests;
