"""Work in hand outlives its director: claims of paid set-ups, takeovers, and where a request is answered."""
