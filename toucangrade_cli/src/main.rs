//! Program entry point.
fn main() {}
