//! Developer commands.

fn main() {}
