//! Mutations of valid message bodies for fuzz tests, determined by a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Replacements for numbers.
const NUMBERS: [&str; 12] = [
    "0",
    "-1",
    "1.5",
    "1e400",
    "-1e400",
    "9007199254740993",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999",
    "00",
    "NaN",
    "65536",
];
/// Replacements for entries.
const VALUES: [&str; 8] = ["null", "true", "\"\"", "{}", "[]", "-0", "1e999", "\"\\u0000\""];

/// Source of mutations.
pub(crate) struct Mutator(SmallRng);

impl Mutator {
    pub(crate) fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    /// A position in a list of this length, 0 for an empty one.
    pub(crate) fn below(&mut self, length: usize) -> usize {
        if length == 0 { 0 } else { self.0.random_range(0..length) }
    }

    fn range(&mut self, length: usize) -> std::ops::Range<usize> {
        let (one, other) = (self.below(length + 1), self.below(length + 1));
        one.min(other)..one.max(other)
    }

    /// A mutation of `body`, in part with bytes of `other`.
    pub(crate) fn body(&mut self, body: &[u8], other: &[u8]) -> Vec<u8> {
        let mut bytes = body.to_vec();
        // Most of the mutations below make a body invalid; a change of one bit often doesn't.
        if self.below(2) == 0 {
            self.flip(&mut bytes);
            return bytes;
        }
        for _ in 0..=self.below(3) {
            match self.below(8) {
                0 => bytes.truncate(self.below(bytes.len() + 1)),
                1 => {
                    for _ in 0..=self.below(4) {
                        self.flip(&mut bytes);
                    }
                },
                2 => {
                    let at = self.range(bytes.len());
                    bytes.splice(at, other[self.range(other.len())].to_vec());
                },
                3 => self.replace_number(&mut bytes),
                4 => {
                    // The repeated part may be a field, an entry or a fragment of one.
                    let at = self.range(bytes.len());
                    let again = bytes[at.clone()].to_vec();
                    bytes.splice(at.end..at.end, again);
                },
                5 => self.nest(&mut bytes),
                6 => {
                    let value = VALUES[self.below(VALUES.len())];
                    bytes.splice(self.range(bytes.len()), value.bytes());
                },
                _ => {
                    let at = self.range(bytes.len());
                    bytes.drain(at);
                },
            }
        }
        bytes
    }

    fn flip(&mut self, bytes: &mut [u8]) {
        let at = self.below(bytes.len());
        let bit = self.below(8);
        if let Some(byte) = bytes.get_mut(at) {
            *byte ^= 1 << bit;
        }
    }

    /// Replaces a number.
    fn replace_number(&mut self, bytes: &mut Vec<u8>) {
        let digits: Vec<usize> =
            (0..bytes.len()).filter(|&at| bytes[at].is_ascii_digit()).collect();
        let Some(&start) = digits.get(self.below(digits.len())) else { return };
        let length = bytes[start..].iter().take_while(|byte| byte.is_ascii_digit()).count();
        let number = NUMBERS[self.below(NUMBERS.len())];
        bytes.splice(start..start + length, number.bytes());
    }

    /// Replaces some bytes by nested brackets, around and beyond the depth limit of decoders.
    fn nest(&mut self, bytes: &mut Vec<u8>) {
        let depth = [2, 127, 128, 200, 5_000][self.below(5)];
        let (open, close) = if self.below(2) == 0 { ("[", "]") } else { ("{\"a\":", "}") };
        let deep = open.repeat(depth) + "0" + &close.repeat(depth);
        bytes.splice(self.range(bytes.len()), deep.bytes());
    }
}
