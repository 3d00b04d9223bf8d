"""What operators have put in force for the queues of callers."""
