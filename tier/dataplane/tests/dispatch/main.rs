//! Tests of endpoint selection and of the limits on calls and batch work at an endpoint.

mod batch;
mod endpoints;
mod fixtures;
