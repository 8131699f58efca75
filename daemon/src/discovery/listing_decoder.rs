//! Decodes the bytes of a watch into lists and changes. These are JSON objects, which may be indented over
//! several lines, separated by empty lines, and split into pieces of any size. The scan for the end of an
//! object looks at each byte once.

use bytes::{Buf, BytesMut};

use super::http::DiscoveryError;
use super::platform::Listing;

/// The largest list accepted. An indented list of 11,000 servers takes less than half of it.
pub(super) const MAX_LIST_BYTES: usize = 8 << 20;

/// Where in the JSON text the scan is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// Between objects, or in one but outside a string.
    #[default]
    Structure,
    String,
    /// In a string, after a backslash.
    Escape,
}

/// Splits a byte stream into JSON objects and decodes each as a [`Listing`].
#[derive(Debug, Default)]
pub(super) struct ListingDecoder {
    buffer: BytesMut,
    /// How many bytes of `buffer` have been scanned.
    scanned_bytes: usize,
    depth: u32,
    scan_state: ScanState,
    /// Whether a line has ended since the incomplete object was last checked for errors.
    has_new_line_end: bool,
    /// The length from which the incomplete object is checked again.
    check_at_bytes: usize,
}

impl ListingDecoder {
    /// Appends received bytes.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), DiscoveryError> {
        self.buffer.extend_from_slice(data);
        self.has_new_line_end |= data.contains(&b'\n');
        match self.buffer.len() > MAX_LIST_BYTES {
            true => Err(DiscoveryError::TooLarge),
            false => Ok(()),
        }
    }

    /// Whether an object has started and not ended.
    pub(super) fn has_partial_object(&self) -> bool {
        !self.buffer.iter().all(u8::is_ascii_whitespace)
    }

    /// Returns the next object, or `None` while it is incomplete.
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

    /// Returns the end of the first object in `buffer`, if it is complete.
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

    /// Fails if the bytes can't become an object, whatever follows. The check parses from the start of the
    /// object, so it runs only each time that the length has doubled.
    fn check_partial_object(&mut self) -> Result<(), DiscoveryError> {
        if !self.has_new_line_end || self.buffer.len() < self.check_at_bytes {
            return Ok(());
        }
        (self.has_new_line_end, self.check_at_bytes) = (false, 2 * self.buffer.len());
        match serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Listing>().next() {
            Some(Err(e)) if !e.is_eof() => Err(e.into()),
            Some(_) => Ok(()),
            None => {
                // Only empty lines.
                self.buffer.clear();
                (self.scanned_bytes, self.check_at_bytes) = (0, 0);
                Ok(())
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/listing_decoder.rs"]
mod tests;
