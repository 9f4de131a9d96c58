"""A serving layer for very many LoRA adapters."""
