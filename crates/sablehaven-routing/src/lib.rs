//! Routing decisions without sockets or clocks: subsets, balancing, hedging, budgets and spill.
