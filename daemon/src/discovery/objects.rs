//! Bytes of a watch into lists and changes. These may come indented over several lines, with empty lines
//! between them, and in pieces of any size: each byte is looked at once to find where an object ends.

use bytes::{Buf, BytesMut};

use super::http::ListError;
use super::platform::Listing;

/// No list is longer: 11,000 servers, indented, take less than half of it.
pub(super) const LIST_MOST: usize = 8 << 20;

/// Where in an object the scan is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Within {
    /// Between objects, or in one but in no text.
    #[default]
    Structure,
    Text,
    /// Behind a backslash.
    Escape,
}

/// What has come of the next object.
#[derive(Debug, Default)]
pub(super) struct Objects {
    part: BytesMut,
    /// So many bytes have been looked at.
    scanned: usize,
    depth: u32,
    within: Within,
    /// A line has ended since an object that has not was last read for errors,
    line_ended: bool,
    /// which is done once it has this length.
    check_at: usize,
}

impl Objects {
    /// More bytes have come.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), ListError> {
        self.part.extend_from_slice(data);
        self.line_ended |= data.contains(&b'\n');
        match self.part.len() > LIST_MOST {
            true => Err(ListError::TooLong),
            false => Ok(()),
        }
    }

    /// Whether an object has begun and not ended.
    pub(super) fn is_part(&self) -> bool {
        !self.part.iter().all(u8::is_ascii_whitespace)
    }

    /// The next object, if it has come whole.
    pub(super) fn pop(&mut self) -> Result<Option<Listing>, ListError> {
        let Some(end) = self.scan() else {
            self.check()?;
            return Ok(None);
        };
        let listing = serde_json::from_slice(&self.part[..end])?;
        self.part.advance(end);
        (self.scanned, self.check_at) = (0, 0);
        Ok(Some(listing))
    }

    /// Where the first object ends.
    fn scan(&mut self) -> Option<usize> {
        while let Some(&byte) = self.part.get(self.scanned) {
            self.scanned += 1;
            self.within = match (self.within, byte) {
                (Within::Escape, _) => Within::Text,
                (Within::Text, b'\\') => Within::Escape,
                (Within::Text, b'"') => Within::Structure,
                (Within::Text, _) => Within::Text,
                (Within::Structure, b'"') => Within::Text,
                (Within::Structure, _) => Within::Structure,
            };
            match byte {
                _ if self.within != Within::Structure => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.saturating_sub(1);
                    if self.depth == 0 {
                        return Some(self.scanned);
                    }
                }
                _ => {}
            }
        }
        None
    }

    /// Fails for what can't become an object, whatever follows. It is read from its beginning, and so only
    /// each time that it has doubled.
    fn check(&mut self) -> Result<(), ListError> {
        if !self.line_ended || self.part.len() < self.check_at {
            return Ok(());
        }
        (self.line_ended, self.check_at) = (false, 2 * self.part.len());
        match serde_json::Deserializer::from_slice(&self.part).into_iter::<Listing>().next() {
            Some(Err(e)) if !e.is_eof() => Err(e.into()),
            Some(_) => Ok(()),
            None => {
                // Empty lines.
                self.part.clear();
                (self.scanned, self.check_at) = (0, 0);
                Ok(())
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/objects.rs"]
mod tests;
