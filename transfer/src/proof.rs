//! What proves a state: the hash of each chunk, and one hash over those, the length and the chunk size. A
//! chunk is proven by itself, before the rest is there.

use bytes::Bytes;

/// The hash of one chunk.
pub type Leaf = [u8; 32];

/// The smallest chunk size.
pub const MIN_CHUNK: u32 = 1 << 12;
/// The largest chunk size.
pub const MAX_CHUNK: u32 = 1 << 20;
/// The most chunks of a state.
pub const MAX_CHUNKS: u32 = 1 << 16;

/// Names the use of the hash, so that no other hash of the same bytes passes for a root.
const CONTEXT: &str = "frosttrail transfer 1 root of a state";

/// Why a description of a state is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShapeError {
    /// No bytes.
    #[error("a state holds at least one byte")]
    Empty,
    /// The chunk size is out of bounds.
    #[error("a chunk size is a power of two from {MIN_CHUNK} to {MAX_CHUNK}")]
    ChunkSize,
    /// Too many chunks.
    #[error("a state has at most {MAX_CHUNKS} chunks")]
    Chunks,
}

/// How a state is cut up. Chunk sizes and counts are bounded once one exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    length: u64,
    chunk: u32,
}

impl Shape {
    /// Checks the bounds.
    pub fn new(length: u64, chunk: u32) -> Result<Self, ShapeError> {
        if length == 0 {
            return Err(ShapeError::Empty);
        }
        if !chunk.is_power_of_two() || !(MIN_CHUNK..=MAX_CHUNK).contains(&chunk) {
            return Err(ShapeError::ChunkSize);
        }
        if length.div_ceil(u64::from(chunk)) > u64::from(MAX_CHUNKS) {
            return Err(ShapeError::Chunks);
        }
        Ok(Shape { length, chunk })
    }

    /// Bytes in all.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Bytes of each chunk but the last.
    pub fn chunk(&self) -> u32 {
        self.chunk
    }

    /// How many chunks.
    pub fn chunks(&self) -> u32 {
        self.length.div_ceil(u64::from(self.chunk)) as u32
    }

    /// Bytes of one chunk; 0 past the last.
    pub fn len_of(&self, index: u32) -> u32 {
        let start = u64::from(index) * u64::from(self.chunk);
        self.length.saturating_sub(start).min(u64::from(self.chunk)) as u32
    }
}

/// The hashes that prove a state of a shape.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    shape: Shape,
    root: Leaf,
    leaves: Bytes,
}

impl Proof {
    /// Hashes a state.
    pub fn of(state: &Bytes, chunk: u32) -> Result<Self, ShapeError> {
        let shape = Shape::new(state.len() as u64, chunk)?;
        let leaves: Vec<u8> = state.chunks(chunk as usize).flat_map(leaf).collect();
        Ok(Proof { shape, root: root(shape, &leaves), leaves: leaves.into() })
    }

    /// Takes what the wire brought; `None` if the parts do not belong together.
    pub fn check(shape: Shape, claimed: Leaf, leaves: Bytes) -> Option<Self> {
        let fits = leaves.len() == shape.chunks() as usize * claimed.len();
        (fits && root(shape, &leaves) == claimed).then_some(Proof { shape, root: claimed, leaves })
    }

    /// How the state is cut up.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The hash of the whole.
    pub fn root(&self) -> &Leaf {
        &self.root
    }

    /// All chunks' hashes, one behind another.
    pub fn leaves(&self) -> &Bytes {
        &self.leaves
    }

    /// Whether these bytes are that chunk.
    pub fn proves(&self, index: u32, data: &[u8]) -> bool {
        let at = index as usize * 32;
        data.len() == self.shape.len_of(index) as usize
            && self.leaves.get(at..at + 32).is_some_and(|l| l == leaf(data))
    }
}

fn leaf(data: &[u8]) -> Leaf {
    *blake3::hash(data).as_bytes()
}

fn root(shape: Shape, leaves: &[u8]) -> Leaf {
    let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
    hasher.update(&shape.length.to_be_bytes()).update(&shape.chunk.to_be_bytes()).update(leaves);
    *hasher.finalize().as_bytes()
}
