"""What workers receive after they have said that they leave."""
