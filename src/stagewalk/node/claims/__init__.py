"""Write-once registers on replica groups of nodes."""
