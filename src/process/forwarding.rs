//! Forwarding of whole requests: what a host knows of upstreams, other hosts and customers' limits, and how it acts on that.

pub mod cold;
pub mod directory;
pub mod evacuation;
pub mod fleet;
pub mod host;
pub mod list_schedule;
pub mod load;
pub mod peers;
pub mod recent_news;
pub mod relays;
pub mod report_exchange;
pub mod report_sections;
pub mod retry_budget;
pub mod selection;
pub mod service_queues;
pub mod settings;
pub mod source;
pub mod stage_controller;
pub mod stage_load;
pub mod stage_plan;
pub mod state_codec;
pub mod store_watchers;
pub mod usage;
pub mod wait_queue;
