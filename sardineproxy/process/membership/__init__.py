"""What entry VMs know of each other, through the store and through links."""
