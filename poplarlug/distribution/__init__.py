"""How configuration reaches the entries and comes into force there."""
