CREATE TABLE reviews (award_id INTEGER NOT NULL, reviewer TEXT NOT NULL, verdict TEXT NOT NULL);
