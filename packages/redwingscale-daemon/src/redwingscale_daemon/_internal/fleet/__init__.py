"""What this instance knows about upstreams: who they are, what they hold, how loaded they are."""
