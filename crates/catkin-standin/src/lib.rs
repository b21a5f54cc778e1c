//! Small stand-ins of the platform, engines, plain services and the weight store.
