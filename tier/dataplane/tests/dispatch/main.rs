//! The choice of an endpoint, and what calls and batch work may use of it.

mod batch;
mod endpoints;
mod fixtures;
