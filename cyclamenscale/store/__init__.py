"""Interface of the platform's key-value service, and its adapters."""
