CREATE TABLE troops (id INTEGER PRIMARY KEY, name TEXT NOT NULL, city TEXT NOT NULL);
CREATE TABLE scouts (id INTEGER PRIMARY KEY, name TEXT NOT NULL, troop_id INTEGER NOT NULL, rank TEXT NOT NULL);
INSERT INTO troops (id, name, city) VALUES
    (1, 'Heliopolis 3rd Troop', 'Cairo'), (2, 'Maadi Sea Scouts', 'Cairo'), (3, 'Giza Pyramids Rovers', 'Giza');
INSERT INTO scouts (id, name, troop_id, rank) VALUES
    (1, 'Youssef Adel', 1, 'Tenderfoot'), (2, 'Mariam Samir', 1, 'Second Class'),
    (3, 'Omar Hany', 2, 'Tenderfoot'), (4, 'Nour Tarek', 3, 'First Class');
